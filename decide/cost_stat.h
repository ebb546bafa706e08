/**
 * @file cost_stat.h
 * @brief Decayed estimate of a quantity that depends on another one, and the
 * log-normal distribution that predictions are made with.
 */
#ifndef APS_COST_STAT_H
#define APS_COST_STAT_H

#include <stdint.h>

/** Weighted moments of pairs (x, y); all zero: nothing observed. */
struct cstat {
	float weight; /**< number of observations, decayed */
	float mean_x;
	float mean_y;
	float var_x;
	float var_y;
	float cov;
};

/** A prediction of the logarithm of a quantity. */
struct cstat_log {
	double mu;  /**< mean of the logarithm */
	double var; /**< variance of the logarithm */
};

/** Records a pair; older pairs fade once there are @p weight_max. */
void cstat_add(struct cstat *stat, double x, double y, double weight_max);
/** Multiplies the weight of everything recorded by @p factor, 0 to 1. */
void cstat_fade(struct cstat *stat, double factor);
/** Returns the slope of y over x; without evidence, @p prior. @p ridge is the
 * strength of that prior: a sum of squares of x. */
double cstat_slope(const struct cstat *stat, double prior, double ridge);
/** Predicts y at @p x; x is limited to the range that was observed. */
struct cstat_log cstat_predict(const struct cstat *stat, double x);
/** Combines a prediction from few observations with a more general one. */
struct cstat_log cstat_blend(struct cstat_log own, double weight,
			     struct cstat_log prior);

/**
 * Returns the mean of what is left of a quantity beyond @p done, given that it
 * is greater; the quantity never exceeds @p max.
 */
double cstat_mean_left(struct cstat_log dist, double done, double max);
/** Returns the value that lies @p z standard deviations of the logarithm above
 * the median, at most @p max. */
double cstat_quantile(struct cstat_log dist, double z, double max);

#endif
