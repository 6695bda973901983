#include "core/replicas.h"

/* An endpoint that lacked a position is not asked again for this time
   unless it is known to have caught up. */
#define BEHIND_PAUSE_US INT64_C (60000)
/* Statements beyond the slots, so that the next one is there when one
   ends. */
#define EXTRA_STATEMENTS 1
/* Weight of the newest time, as a divisor. */
#define LATENCY_DIVISOR 8
/* Replicas are preferred unless they are this much slower than the primary,
   which has the writes to do. */
#define PRIMARY_COST 3
#define REPLICA_COST 2

int
replicas_limit (const struct replica *replica)
{
  return replica->slots + EXTRA_STATEMENTS;
}

void
replicas_measure (struct replica *replica, int64_t latency_us)
{
  if (replica->latency_us == 0)
    replica->latency_us = latency_us;
  else
    replica->latency_us
        += (latency_us - replica->latency_us) / LATENCY_DIVISOR;
}

static bool
may_have (const struct replica *r, struct position required, int64_t now)
{
  return position_compare (r->position, required) >= 0 || r->behind_at == 0
         || now - r->behind_at > BEHIND_PAUSE_US;
}

static int64_t
cost_of (const struct replica *r, bool prefer_primary)
{
  int64_t cost = (r->running + 1) * (r->latency_us + 1) / r->slots;
  if (prefer_primary)
    return cost;
  return cost * (r->is_primary ? PRIMARY_COST : REPLICA_COST);
}

enum replicas_choice
replicas_choose_read (const struct replica *replicas, int count,
                      struct position required, bool prefer_primary,
                      int64_t now, int *index)
{
  enum replicas_choice choice = REPLICAS_NONE;
  int64_t best = 0;
  bool has_primary = false;
  for (int i = 0; i < count; i++)
    has_primary |= replicas[i].usable && replicas[i].is_primary;
  for (int i = 0; i < count; i++)
    {
      const struct replica *r = &replicas[i];
      if (!r->usable || (!r->is_primary && !may_have (r, required, now))
          || (prefer_primary && has_primary && !r->is_primary))
        continue;
      if (r->running >= replicas_limit (r))
        {
          if (choice == REPLICAS_NONE)
            choice = REPLICAS_FULL;
          continue;
        }
      int64_t cost = cost_of (r, prefer_primary);
      if (choice == REPLICAS_FOUND && cost >= best)
        continue;
      choice = REPLICAS_FOUND;
      best = cost;
      *index = i;
    }
  return choice;
}

int
replicas_choose_successor (const struct replica *replicas, int count)
{
  int best = -1;
  for (int i = 0; i < count; i++)
    {
      const struct replica *r = &replicas[i];
      if (r->usable && !r->is_primary
          && (best < 0
              || position_compare (r->position, replicas[best].position) > 0))
        best = i;
    }
  return best;
}

void
history_restart (struct history *h, struct position position, int64_t now)
{
  h->first = 0;
  h->count = 0;
  h->newest = position;
  history_sample (h, now);
}

void
history_note (struct history *h, struct position position, int64_t now)
{
  h->newest = position_max (h->newest, position);
  history_sample (h, now);
}

void
history_sample (struct history *h, int64_t now)
{
  if (h->count > 0)
    {
      int last = (h->first + h->count - 1) % HISTORY_SAMPLES;
      if (now - h->samples[last].at < HISTORY_STEP_US)
        return;
    }
  if (h->count == HISTORY_SAMPLES)
    {
      h->first = (h->first + 1) % HISTORY_SAMPLES;
      h->count--;
    }
  int next = (h->first + h->count) % HISTORY_SAMPLES;
  h->samples[next].at = now;
  h->samples[next].position = h->newest;
  h->count++;
}

struct position
history_at (const struct history *h, int64_t time)
{
  for (int i = 0; i < h->count; i++)
    {
      int k = (h->first + i) % HISTORY_SAMPLES;
      if (h->samples[k].at > time)
        return h->samples[k].position;
    }
  return h->newest;
}
