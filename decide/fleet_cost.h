/**
 * @file fleet_cost.h
 * @brief Compares servers by the shared view of their load and by the predicted
 * work of the request.
 */
#ifndef APS_FLEET_COST_H
#define APS_FLEET_COST_H

#include "fleet.h"

/** Needs load_view, predict and predict_arg of the query. */
extern const struct fleet_view_ops fleet_shared_view;

#endif
