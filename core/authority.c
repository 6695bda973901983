#include "core/authority.h"

/* Terms change a few times a day and a write waits for seconds at most, so a
   short list of openings covers every write that is not decided yet. */
#define MAX_OPENINGS 16

/** The newest answer of one endpoint, which grants authority for its term. */
struct endpoint_grant
{
  struct endpoint_status status;
  int64_t sent_at; /**< When the poll was sent. */
  uint64_t fence;  /**< Highest fence marker ever reported; it only rises. */
  bool known;      /**< The endpoint has answered a poll. */
};

/** The beginning of a term. */
struct term_opening
{
  uint64_t term;
  uint64_t branch_point;
  int primary;
};

struct authority
{
  struct authority_options options;
  struct endpoint_grant endpoints[GROUP_MAX_ENDPOINTS];
  struct term_opening openings[MAX_OPENINGS]; /**< By ascending term. */
  int opening_count;
  uint64_t highest_term;  /**< Highest term that is known to exist. */
  uint64_t released_term; /**< Highest term that this daemon released. */
};

struct authority *
authority_create (void *parent, const struct authority_options *options)
{
  struct authority *a = talloc_zero (parent, struct authority);
  a->options = *options;
  if (a->options.endpoint_count > GROUP_MAX_ENDPOINTS)
    a->options.endpoint_count = GROUP_MAX_ENDPOINTS;
  return a;
}

void
authority_record_term (struct authority *a, uint64_t term)
{
  if (term > a->highest_term)
    a->highest_term = term;
}

void
authority_record_status (struct authority *a, int endpoint,
                         const struct endpoint_status *status, int64_t sent_at)
{
  if (endpoint < 0 || endpoint >= a->options.endpoint_count)
    return;
  struct endpoint_grant *g = &a->endpoints[endpoint];
  authority_record_term (a, status->term);
  if (status->fence > g->fence)
    g->fence = status->fence;
  /* The answer to an earlier poll may arrive after that to a later one. */
  if (g->known && sent_at < g->sent_at)
    return;
  g->known = true;
  g->status = *status;
  g->sent_at = sent_at;
}

void
authority_record_opening (struct authority *a, uint64_t term, int primary,
                          uint64_t branch_point)
{
  authority_record_term (a, term);
  int at = a->opening_count;
  while (at > 0 && a->openings[at - 1].term > term)
    at--;
  if (at > 0 && a->openings[at - 1].term == term)
    return;
  if (a->opening_count == MAX_OPENINGS)
    {
      if (at == 0)
        return;
      memmove (a->openings, a->openings + 1,
               (MAX_OPENINGS - 1) * sizeof a->openings[0]);
      a->opening_count--;
      at--;
    }
  memmove (a->openings + at + 1, a->openings + at,
           (size_t)(a->opening_count - at) * sizeof a->openings[0]);
  a->openings[at] = (struct term_opening){ .term = term,
                                           .branch_point = branch_point,
                                           .primary = primary };
  a->opening_count++;
}

void
authority_release (struct authority *a, uint64_t term)
{
  if (term > a->released_term)
    a->released_term = term;
}

uint64_t
authority_term (const struct authority *a)
{
  return a->highest_term;
}

int
authority_primary (const struct authority *a)
{
  if (a->opening_count == 0)
    return INDEX_NONE;
  return a->openings[a->opening_count - 1].primary;
}

int64_t
authority_expiry (const struct authority *a, uint64_t term)
{
  int64_t newest[GROUP_MAX_ENDPOINTS];
  int count = 0;
  int majority = a->options.endpoint_count / 2 + 1;
  if (term == 0 || term < a->highest_term || term <= a->released_term)
    return 0;
  for (int i = 0; i < a->options.endpoint_count; i++)
    {
      const struct endpoint_grant *g = &a->endpoints[i];
      if (!g->known || g->status.term != term || g->fence > term)
        continue;
      int at = count++;
      while (at > 0 && newest[at - 1] < g->sent_at)
        {
          newest[at] = newest[at - 1];
          at--;
        }
      newest[at] = g->sent_at;
    }
  if (count < majority)
    return 0;
  return newest[majority - 1] + a->options.lease_us;
}

int
authority_confirmations (const struct authority *a, uint64_t term,
                         uint64_t lsn)
{
  int count = 0;
  for (int i = 0; i < a->options.endpoint_count; i++)
    {
      const struct endpoint_grant *g = &a->endpoints[i];
      count += g->known && g->status.in_recovery && g->status.term == term
               && g->status.received >= lsn;
    }
  return count;
}

static bool
may_acknowledge (const struct authority *a, uint64_t term, uint64_t upper,
                 int64_t now)
{
  return now < authority_expiry (a, term)
         && authority_confirmations (a, term, upper)
                >= a->options.confirm_replicas;
}

enum ack_verdict
authority_decide (const struct authority *a, uint64_t term, uint64_t lower,
                  uint64_t upper, int64_t now)
{
  uint64_t newest = term;
  for (int i = 0; i < a->opening_count; i++)
    {
      const struct term_opening *o = &a->openings[i];
      if (o->term <= newest)
        continue;
      /* A branch point is a position of the term directly before.  If openings
         in between are missing, one of those terms may have discarded the
         write. */
      if (o->term != newest + 1)
        return ACK_UNKNOWN;
      if (lower > o->branch_point)
        return ACK_DISCARDED;
      if (upper > o->branch_point)
        return ACK_UNKNOWN;
      newest = o->term;
    }
  /* A write that a newer term contains must be confirmed there again: until
     then the new primary may have its only copy, and may fail. */
  return may_acknowledge (a, newest, upper, now) ? ACK_SEND : ACK_WAIT;
}
