#include "core/hedging.h"

#define DEFAULT_SHARE 0.02
#define DEFAULT_BURST 8
/* An answer is lost after this multiple of the high quantile of its kind: 1%
   of the answers are later than the quantile itself, and at most 0.3% may be
   taken for lost although they are not. */
#define LOST_FACTOR 2

struct hedging
{
  struct hedging_options options;
  double tokens; /**< Second sends that are allowed now. */
};

struct hedging *
hedging_create (void *parent, const struct hedging_options *options)
{
  struct hedging *h = talloc_zero (parent, struct hedging);
  if (options != NULL)
    h->options = *options;
  if (h->options.share <= 0)
    h->options.share = DEFAULT_SHARE;
  if (h->options.burst <= 0)
    h->options.burst = DEFAULT_BURST;
  h->tokens = h->options.burst;
  return h;
}

bool
hedging_is_enabled (const struct hedging *h)
{
  return !h->options.disabled;
}

void
hedging_count_statement (struct hedging *h)
{
  h->tokens += h->options.share;
  if (h->tokens > h->options.burst)
    h->tokens = h->options.burst;
}

void
hedging_spend (struct hedging *h)
{
  h->tokens--;
}

/* @return whether the endpoint has answered a statement that was sent
   later. */
static bool
is_overtaken (const struct hedging_read *read)
{
  return read->answered_sent_at > read->sent_at;
}

bool
hedging_is_due (const struct hedging *h, const struct hedging_read *read,
                int64_t now)
{
  int64_t waited = now - read->sent_at;
  if (h->options.disabled || read->answered_at <= read->sent_at)
    return false;
  if (waited > read->high_us && is_overtaken (read))
    return h->tokens >= 1;
  /* After the silence limit the endpoint has been probed, and the probe was
     answered.  Slow kinds of work pass this limit often, so that half of the
     budget is kept for reads that are late for their kind. */
  return waited > replicas_silence_limit (read->view) && h->tokens >= 1
         && h->tokens >= h->options.burst / 2;
}

bool
hedging_is_lost (const struct hedging *h, const struct hedging_read *read,
                 int64_t now)
{
  int64_t waited = now - read->sent_at;
  /* An endpoint that has answered nothing since is suspect instead. */
  if (read->answered_at <= read->sent_at)
    return false;
  if (h->options.disabled)
    return replicas_answer_is_lost (read->view, waited, is_overtaken (read));
  return waited > replicas_silence_limit (read->view)
         && waited > read->high_us * LOST_FACTOR;
}
