/** @file cost_stat.c @brief Decayed moments, and log-normal predictions. */
#include <math.h>

#include <glib.h>

#include "cost_stat.h"

/* An estimate of one observation counts half as much as the more general one
 * that it refines when it has this weight. */
#define PRIOR_WEIGHT 3.0
/* Limits of the standard deviation of a logarithm: never certain, and no mean
 * that is far beyond what was observed. */
#define SIGMA_MIN 0.05
#define SIGMA_MAX 1.8
/* Predictors beyond this many standard deviations of what was observed say no
 * more than those at the limit. */
#define RANGE_SIGMAS 2.5
#define RIDGE 0.5

void cstat_add(struct cstat *stat, double x, double y, double weight_max)
{
	double weight = MIN((double)stat->weight + 1, weight_max);
	double share = 1 / weight;
	double dx = x - stat->mean_x;
	double dy = y - stat->mean_y;

	stat->weight = (float)weight;
	stat->mean_x += (float)(share * dx);
	stat->mean_y += (float)(share * dy);
	stat->var_x = (float)((1 - share) * (stat->var_x + share * dx * dx));
	stat->var_y = (float)((1 - share) * (stat->var_y + share * dy * dy));
	stat->cov = (float)((1 - share) * (stat->cov + share * dx * dy));
}

void cstat_fade(struct cstat *stat, double factor)
{
	stat->weight *= (float)factor;
}

double cstat_slope(const struct cstat *stat, double prior, double ridge)
{
	double weight = stat->weight;

	return (weight * stat->cov + ridge * prior) /
	       (weight * stat->var_x + ridge);
}

struct cstat_log cstat_predict(const struct cstat *stat, double x)
{
	double slope = cstat_slope(stat, 0, RIDGE);
	double range = RANGE_SIGMAS * sqrt(stat->var_x);
	double dx = CLAMP(x - stat->mean_x, -range, range);
	double var = stat->var_y - slope * stat->cov;

	/* The variance of few observations underestimates the true one. */
	var = MAX(var, 0) * (1 + 1 / MAX((double)stat->weight, 1));
	return (struct cstat_log){stat->mean_y + slope * dx,
				  MAX(var, SIGMA_MIN * SIGMA_MIN)};
}

struct cstat_log cstat_blend(struct cstat_log own, double weight,
			     struct cstat_log prior)
{
	double share = weight / (weight + PRIOR_WEIGHT);
	double gap = own.mu - prior.mu;

	return (struct cstat_log){
		share * own.mu + (1 - share) * prior.mu,
		share * own.var + (1 - share) * prior.var +
			share * (1 - share) * gap * gap,
	};
}

/* Probability that a standard normal variable exceeds @p z. */
static double upper_tail(double z)
{
	return 0.5 * erfc(z * M_SQRT1_2);
}

double cstat_mean_left(struct cstat_log dist, double done, double max)
{
	double sigma = CLAMP(sqrt(dist.var), SIGMA_MIN, SIGMA_MAX);
	double mean = exp(dist.mu + sigma * sigma / 2);
	double z_done, z_max, beyond, sum;

	if (done >= max)
		return 0;
	z_max = (log(max) - dist.mu) / sigma;
	if (done <= 0)
		return mean * (1 - upper_tail(z_max - sigma)) +
		       max * upper_tail(z_max);
	z_done = (log(done) - dist.mu) / sigma;
	beyond = upper_tail(z_done);
	/* Longer than anything that was expected: as much again. */
	if (beyond < 1e-4)
		return MIN(done, max - done);
	sum = mean * (upper_tail(z_done - sigma) - upper_tail(z_max - sigma)) +
	      max * upper_tail(z_max);
	return CLAMP(sum / beyond - done, 0, max - done);
}

double cstat_quantile(struct cstat_log dist, double z, double max)
{
	double sigma = CLAMP(sqrt(dist.var), SIGMA_MIN, SIGMA_MAX);

	return MIN(exp(dist.mu + z * sigma), max);
}
