#include "core/replicas.h"

/* An endpoint that lacked a position gets no read for this time unless it is
   known to have caught up. */
#define BEHIND_PAUSE_US INT64_C (60000)
/* Statements sent beyond the slots, so that the next one has arrived when one
   ends. */
#define EXTRA_STATEMENTS 1
/* An endpoint that owes an answer for this long is suspect: this time, or this
   multiple of its latency if that is more. */
#define SUSPECT_SILENCE_US INT64_C (220000)
#define SUSPECT_LATENCIES 8
/* The same limits for a read that a later statement has overtaken: answers
   come in order but for the few statements that run side by side. */
#define OVERTAKEN_US INT64_C (60000)
#define OVERTAKEN_LATENCIES 4
/* Weight of the newest time in the moving average, as a divisor. */
#define LATENCY_DIVISOR 8
/* Reads go to replicas unless these are slower than the primary by the ratio
   of these factors, as the primary has the writes to run. */
#define PRIMARY_COST 3
#define REPLICA_COST 2
/* Largest part of the connections to a replica that its reader gets, in
   percent: the owner also sends the reads that a reader cannot run. */
#define MAX_READER_PERCENT 67
/* Factor for endpoints in other failure domains: bytes between these are
   expensive, but a read does not wait at a near endpoint for the time of
   another read. */
#define FAR_COST 2

/* Least learned limit of a primary: one slot for reads and one for writes. */
#define MIN_PRIMARY_STATEMENTS 2
/* Time that a new connection occupies a slot. */
#define CONNECTION_US INT64_C (12000)

int
replicas_max_statements (const struct replica_view *view)
{
  if (view->limit == 0)
    return view->slots + EXTRA_STATEMENTS;
  if (view->is_primary && view->limit < MIN_PRIMARY_STATEMENTS)
    return MIN_PRIMARY_STATEMENTS;
  return view->limit;
}

bool
replicas_has_room_for_read (const struct replica_view *view)
{
  int most = replicas_max_statements (view);
  return view->running < most
         && (view->limit == 0 || !view->is_primary
             || view->running_reads < most - 1);
}

static int64_t
max_time (int64_t a, int64_t b)
{
  return a > b ? a : b;
}

int64_t
replicas_silence_limit (const struct replica_view *view)
{
  return max_time (SUSPECT_SILENCE_US, view->latency_us * SUSPECT_LATENCIES);
}

bool
replicas_answer_is_lost (const struct replica_view *view, int64_t waited_us,
                         bool is_overtaken)
{
  int64_t limit
      = is_overtaken
            ? max_time (OVERTAKEN_US, view->latency_us * OVERTAKEN_LATENCIES)
            : replicas_silence_limit (view);
  return waited_us > limit;
}

void
replicas_record_latency (struct replica_view *view, int64_t latency_us)
{
  if (view->latency_us == 0)
    view->latency_us = latency_us;
  else
    view->latency_us += (latency_us - view->latency_us) / LATENCY_DIVISOR;
}

/* @return whether the replica has the position, or may have caught up. */
static bool
may_have_position (const struct replica_view *r, struct position required,
                   int64_t now)
{
  return position_compare (r->position, required) >= 0 || r->behind_at == 0
         || now - r->behind_at > BEHIND_PAUSE_US;
}

/* @return the expected time of one more read, raised in proportion to how much
   of the limit is in use: of endpoints that are equally fast, the one with the
   most room for the reads that follow comes first. */
static int64_t
expected_cost (const struct replica_view *r)
{
  int64_t time = r->expected_us > 0 ? r->expected_us : r->latency_us + 1;
  if (r->needs_connection)
    time += CONNECTION_US;
  int most = replicas_max_statements (r);
  return time * (most + r->running) / most;
}

/* @return the estimated time until the endpoint answers one more read,
   weighted in favour of replicas. */
static int64_t
read_cost (const struct replica_view *r, bool prefer_primary)
{
  /* A new connection occupies a slot for about as long as a statement. */
  int64_t cost = (r->running + 1 + r->needs_connection) * (r->latency_us + 1)
                 / r->slots;
  if (r->limit > 0)
    cost = expected_cost (r);
  if (!r->is_near)
    cost *= FAR_COST;
  if (prefer_primary)
    return cost;
  return cost * (r->is_primary ? PRIMARY_COST : REPLICA_COST);
}

enum replicas_choice
replicas_choose_for_read (const struct replica_view *replicas, int count,
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
      const struct replica_view *r = &replicas[i];
      if (!r->usable
          || (!r->is_primary && !may_have_position (r, required, now))
          || (prefer_primary && has_primary && !r->is_primary))
        continue;
      if (!replicas_has_room_for_read (r))
        {
          if (choice == REPLICAS_NONE)
            choice = REPLICAS_FULL;
          continue;
        }
      int64_t cost = read_cost (r, prefer_primary);
      if (choice == REPLICAS_FOUND && cost >= best)
        continue;
      choice = REPLICAS_FOUND;
      best = cost;
      *index = i;
    }
  return choice;
}

int
replicas_reader_connections (int limit, int replicas, int domains)
{
  /* Each failure domain has an equal part of the reads.  The reader of a
     replica has one such part; the owner divides those of the domains without
     a replica among all replicas. */
  int share = domains > 0 ? limit * replicas / domains : limit;
  if (share > limit * MAX_READER_PERCENT / 100)
    share = limit * MAX_READER_PERCENT / 100;
  return share;
}

bool
replicas_has_forked (const struct replica_view *view,
                     const struct replica_lineage *lineage)
{
  bool is_prefix = lineage->start.term != 0
                   && view->position.term == lineage->start.term
                   && view->position.number <= lineage->start.number;
  return view->term < lineage->term && !is_prefix;
}

bool
replicas_has_surely_forked (const struct replica_view *view,
                            const struct replica_lineage *lineage)
{
  return view->term < lineage->term && lineage->start.term != 0
         && view->position.term == lineage->start.term
         && view->position.number > lineage->start.number;
}

int
replicas_choose_successor (const struct replica_view *replicas, int count,
                           const struct replica_lineage *lineage)
{
  int best = -1;
  for (int i = 0; i < count; i++)
    {
      const struct replica_view *r = &replicas[i];
      if (r->usable && !r->is_primary
          && (lineage == NULL || !replicas_has_forked (r, lineage))
          && (best < 0
              || position_compare (r->position, replicas[best].position) > 0))
        best = i;
    }
  return best;
}

void
commit_history_restart (struct commit_history *h, struct position position,
                        int64_t now)
{
  h->first = 0;
  h->count = 0;
  h->newest = position;
  commit_history_sample (h, now);
}

void
commit_history_record (struct commit_history *h, struct position position,
                       int64_t now)
{
  h->newest = position_max (h->newest, position);
  commit_history_sample (h, now);
}

void
commit_history_sample (struct commit_history *h, int64_t now)
{
  if (h->count > 0)
    {
      int last = (h->first + h->count - 1) % COMMIT_HISTORY_SAMPLES;
      if (now - h->samples[last].at < COMMIT_HISTORY_INTERVAL_US)
        return;
    }
  if (h->count == COMMIT_HISTORY_SAMPLES)
    {
      h->first = (h->first + 1) % COMMIT_HISTORY_SAMPLES;
      h->count--;
    }
  int next = (h->first + h->count) % COMMIT_HISTORY_SAMPLES;
  h->samples[next].at = now;
  h->samples[next].position = h->newest;
  h->count++;
}

struct position
commit_history_at (const struct commit_history *h, int64_t time)
{
  for (int i = 0; i < h->count; i++)
    {
      int k = (h->first + i) % COMMIT_HISTORY_SAMPLES;
      if (h->samples[k].at > time)
        return h->samples[k].position;
    }
  return h->newest;
}

bool
commit_history_read_position (const struct commit_history *h, int64_t time,
                              struct position own, struct position *required)
{
  for (int i = 0; i < h->count; i++)
    {
      int k = (h->first + i) % COMMIT_HISTORY_SAMPLES;
      if (h->samples[k].at < time)
        continue;
      *required = position_max (h->samples[k].position, own);
      /* Only the owner knows which writes of an older term were rolled
         back. */
      return own.term == 0 || own.term == h->samples[k].position.term;
    }
  return false;
}
