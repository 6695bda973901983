#include "core/failover.h"

/* Poll interval while the primary is suspected or a promotion is awaited. */
#define FAST_POLL_US INT64_C (50000)
/* Interval between repetitions of a command that failed. */
#define RETRY_US INT64_C (100000)
/* Interval between reads of an object that does not answer. */
#define READ_RETRY_US INT64_C (500000)
/* An update without a result is read back after this time, and again at this
   interval until UPDATE_LATE_US.  The platform answers in milliseconds, so
   the response is then probably lost; afterwards it is probably down. */
#define READ_BACK_US INT64_C (100000)
#define UPDATE_LATE_US INT64_C (1000000)
/* Refused attempts to connect that count as evidence, and the longest time
   between two of them. */
#define REFUSED_MIN 4
#define REFUSED_GAP_US INT64_C (500000)
/* Interval between the views of a driver during a change.  They let it be
   replaced after half its timeout; heartbeats alone are too rare for that. */
#define DRIVER_VIEW_US INT64_C (100000)
/* Delay per rank before a member acts on what all members see.  An update
   takes a few milliseconds, so the next rank sees the first one's. */
#define STAGGER_US INT64_C (150000)
/* Silence of the caller that counts as a pause: two polls were missed. */
#define PAUSE_US INT64_C (500000)
/* Three heartbeats. */
#define VIEW_FRESH_US INT64_C (1500000)
/* A command without a visible effect is repeated after this time. */
#define COMMAND_TIMEOUT_US INT64_C (1000000)
/* The host reports each result, if only as lost; this is longer than its
   own limits. */
#define RESULT_TIMEOUT_US INT64_C (5000000)
/* How often a replica that does not follow is told to follow. */
#define FOLLOW_RETRY_US INT64_C (3000000)
/* A member that was removed while it was cut off stops within a few leases;
   within this many, its missing release is not ignored. */
#define REMOVED_LEASES 10
/* Driver timeouts without progress until a living driver is replaced. */
#define STUCK_TIMEOUTS 4
/* Time that writes which were sent before their member released the old term
   get to reach the primary that leaves, and then the replicas.  A write to a
   nearby endpoint takes a few milliseconds. */
#define PLANNED_QUIET_US INT64_C (100000)
/* Longest wait of a planned change for releases, and later for replicas that
   lag; then its steps are those of an unplanned one. */
#define PLANNED_RELEASE_US INT64_C (300000)
#define PLANNED_CATCH_UP_US INT64_C (500000)
/* Interval between the positions of the primary that replicas are compared
   with.  A replica that reached the last but one of them receives the rest
   within PLANNED_CATCH_UP_US. */
#define MARK_US INT64_C (200000)
/* Time after a change of term in which authority is sought with fast
   polls. */
#define SETTLE_US INT64_C (2000000)

/* The clocks of two daemons run at rates that differ by far less than 1%. */
static int64_t
with_clock_drift (int64_t lease)
{
  return lease + lease / 100;
}

struct endpoint_view
{
  struct endpoint_status status;
  int64_t answered_at; /* 0 if never. */
  uint64_t fenced_term;
  /* The receiver was stopped and the status measured after this time; set
     by a fence that was the only one in flight. */
  int64_t measured_after;
  /* Highest marker in any status, and when it was first seen. */
  uint64_t marker;
  int64_t marker_at;
  int64_t fence_sent_at;
  int fences_in_flight;
  int64_t poll_sent_at;
  int64_t follow_sent_at;
  /* Consecutive attempts to connect that were refused. */
  int refusals;
  int64_t refused_since, refused_at;
  bool leaving;
  /* Positions of the last two statuses that are MARK_US apart. */
  uint64_t mark, earlier_mark;
  int64_t mark_at;
};

struct member_view
{
  uint64_t id;
  struct primary_view view; /* received_at is 0 before the first. */
  uint64_t released;
};

enum update_state
{
  UPDATE_NONE,
  UPDATE_TO_SEND,
  UPDATE_SENT,
  UPDATE_UNRESOLVED /* Its response was lost. */
};

struct failover
{
  struct failover_options options;
  int64_t created_at;
  int64_t last_now;
  int64_t awake_since; /* End of the last pause of this process. */

  struct group_record record;
  bool has_record;
  int64_t record_at;     /* When this version was first seen. */
  int64_t term_at;       /* When this term or phase was first seen. */
  bool must_read;        /* The record may be old: decide nothing. */
  int64_t read_sent_at;  /* 0 if none is awaited. */
  uint64_t highest_term; /* In records, statuses and markers. */

  enum update_state update;
  enum failover_phase update_phase;
  struct group_record wanted; /* version is the one to match. */
  int64_t update_sent_at;
  bool update_in_flight; /* A result is still to come. */

  struct endpoint_view endpoints[GROUP_MAX_ENDPOINTS];
  struct member_view members[CELL_MAX_MEMBERS];
  int member_count;
  int64_t member_removed_at;
  int64_t members_read_at; /* Send time of the newest read. */
  int64_t members_read_sent_at;

  int64_t due_since; /* Since when a condition asks this member to act. */
  int64_t driving_since;
  int64_t over_since;     /* When older authority was found to have ended. */
  int64_t released_since; /* When every member had released, 0 before. */
  int64_t release_sent_at;
  int64_t promote_sent_at;
  bool may_promote; /* The candidate was chosen or polled by this driver. */
  int last_vote;
  int64_t view_due_at; /* When the last view was due. */
};

struct failover *
failover_create (void *parent, const struct failover_options *options,
                 int64_t now)
{
  struct failover *f = talloc_zero (parent, struct failover);
  f->options = *options;
  if (f->options.endpoint_count > GROUP_MAX_ENDPOINTS)
    f->options.endpoint_count = GROUP_MAX_ENDPOINTS;
  f->created_at = now;
  f->last_now = now;
  f->awake_since = now;
  f->record.primary = INDEX_NONE;
  f->record.candidate = INDEX_NONE;
  return f;
}

static int64_t
latest (int64_t a, int64_t b)
{
  return a > b ? a : b;
}

/* Notice a pause of this process.  What was not heard while nobody
   listened proves nothing, and the record may have moved on. */
static void
advance (struct failover *f, int64_t now)
{
  if (now - f->last_now > PAUSE_US)
    {
      f->awake_since = now;
      f->due_since = 0;
      f->must_read = true;
      f->read_sent_at = 0;
      for (int i = 0; i < f->options.endpoint_count; i++)
        f->endpoints[i].refusals = 0;
    }
  f->last_now = latest (f->last_now, now);
}

static int
endpoint_majority (const struct failover *f)
{
  return f->options.endpoint_count / 2 + 1;
}

static bool
is_reachable (const struct failover *f, int endpoint, int64_t now)
{
  const struct endpoint_view *e = &f->endpoints[endpoint];
  return e->answered_at != 0 && now - e->answered_at < f->options.suspect_us;
}

static int
find_member (const struct failover *f, uint64_t id)
{
  for (int i = 0; i < f->member_count; i++)
    if (f->members[i].id == id)
      return i;
  return INDEX_NONE;
}

static void
see_term (struct failover *f, uint64_t term)
{
  if (term <= f->highest_term)
    return;
  f->highest_term = term;
  if (f->has_record && term > f->record.term)
    f->must_read = true;
}

static bool
is_driving (const struct failover *f)
{
  return f->has_record && f->record.version != 0
         && f->record.phase != FAILOVER_STABLE
         && f->record.driver == f->options.self;
}

/* Whether the record names endpoints that exist. */
static bool
is_valid (const struct failover *f, const struct group_record *r)
{
  int count = f->options.endpoint_count;
  return r->version == 0
         || (r->primary >= 0 && r->primary < count
             && r->candidate >= INDEX_NONE && r->candidate < count);
}

/* Use a record that is in force. */
static void
adopt_record (struct failover *f, const struct group_record *r, int64_t now)
{
  bool was_driving = is_driving (f);
  bool moved = !f->has_record || r->term != f->record.term
               || r->phase != f->record.phase;
  f->record = *r;
  f->has_record = true;
  f->record_at = now;
  f->due_since = 0;
  if (moved)
    f->term_at = now;
  if (r->term > f->highest_term)
    f->highest_term = r->term;
  if (moved || (!was_driving && is_driving (f)))
    {
      f->driving_since = now;
      f->over_since = 0;
      f->released_since = 0;
      f->release_sent_at = 0;
      f->promote_sent_at = 0;
      f->may_promote = false;
      for (int i = 0; i < f->options.endpoint_count; i++)
        {
          f->endpoints[i].poll_sent_at = 0;
          f->endpoints[i].follow_sent_at = 0;
          f->endpoints[i].fence_sent_at = 0;
        }
    }
}

void
failover_on_record (struct failover *f, const struct group_record *r,
                    int64_t now)
{
  advance (f, now);
  if ((f->has_record && r->version < f->record.version) || !is_valid (f, r))
    return;
  f->must_read = false;
  f->read_sent_at = 0;
  if (f->update != UPDATE_NONE && r->version > f->wanted.version)
    {
      bool mine = r->op == f->wanted.op && r->driver == f->wanted.driver;
      bool chosen = mine && f->update_phase == FAILOVER_CHOOSING;
      f->update = UPDATE_NONE;
      adopt_record (f, r, now);
      f->may_promote = chosen;
      return;
    }
  /* The object is unchanged: the lost update was not applied, or not yet.
     A new one is conditional on the same version, so at most one of them
     takes effect, and a record that names this member as its driver is
     carried on whichever it is. */
  if (f->update == UPDATE_UNRESOLVED)
    f->update = UPDATE_NONE;
  if (!f->has_record || r->version > f->record.version)
    adopt_record (f, r, now);
}

void
failover_on_update (struct failover *f, enum update_result result,
                    uint64_t version, int64_t now)
{
  advance (f, now);
  f->update_in_flight = false;
  if (f->update != UPDATE_SENT && f->update != UPDATE_UNRESOLVED)
    return;
  if (result == UPDATE_DONE && version > f->wanted.version)
    {
      struct group_record done = f->wanted;
      done.version = version;
      f->update = UPDATE_NONE;
      if (f->has_record && version < f->record.version)
        return;
      bool chosen = f->update_phase == FAILOVER_CHOOSING;
      adopt_record (f, &done, now);
      f->may_promote = chosen;
    }
  else if (result == UPDATE_CONFLICT)
    {
      f->update = UPDATE_NONE;
      f->must_read = true;
      /* The host sends the record without being asked. */
      f->read_sent_at = now;
    }
  else
    {
      f->update = UPDATE_UNRESOLVED;
      f->read_sent_at = 0;
    }
}

static void
see_status (struct failover *f, int endpoint,
            const struct endpoint_status *status, int64_t now)
{
  struct endpoint_view *e = &f->endpoints[endpoint];
  if (e->mark_at == 0 || now - e->mark_at >= MARK_US)
    {
      e->earlier_mark = e->mark_at == 0 ? status->received : e->mark;
      e->mark = status->received;
      e->mark_at = now;
    }
  if (status->fence > e->marker)
    {
      e->marker = status->fence;
      e->marker_at = now;
    }
  e->refusals = 0;
  e->status = *status;
  e->answered_at = now;
  see_term (f, status->term);
  see_term (f, status->fence);
}

void
failover_on_status (struct failover *f, int endpoint,
                    const struct endpoint_status *status, int64_t now)
{
  advance (f, now);
  if (endpoint < 0 || endpoint >= f->options.endpoint_count)
    return;
  see_status (f, endpoint, status, now);
  if (is_driving (f) && endpoint == f->record.candidate)
    f->may_promote = true;
}

void
failover_on_refused (struct failover *f, int endpoint, int64_t now)
{
  advance (f, now);
  if (endpoint < 0 || endpoint >= f->options.endpoint_count)
    return;
  struct endpoint_view *e = &f->endpoints[endpoint];
  if (e->refusals == 0 || now - e->refused_at > REFUSED_GAP_US)
    {
      e->refusals = 0;
      e->refused_since = now;
    }
  e->refusals++;
  e->refused_at = now;
}

void
failover_on_fenced (struct failover *f, int endpoint, bool ok,
                    const struct endpoint_status *status, int64_t now)
{
  advance (f, now);
  if (endpoint < 0 || endpoint >= f->options.endpoint_count)
    return;
  struct endpoint_view *e = &f->endpoints[endpoint];
  bool sole = e->fences_in_flight == 1;
  if (e->fences_in_flight > 0)
    e->fences_in_flight--;
  if (!ok)
    return;
  see_status (f, endpoint, status, now);
  if (sole)
    e->measured_after = e->fence_sent_at;
  if (status->fence > e->fenced_term)
    e->fenced_term = status->fence;
}

void
failover_on_promoted (struct failover *f, int endpoint, bool ok, int64_t now)
{
  (void)ok;
  advance (f, now);
  /* The answer may be lost or late, so only a poll of the candidate says
     whether it was promoted. */
  if (endpoint >= 0 && endpoint < f->options.endpoint_count)
    f->endpoints[endpoint].poll_sent_at = 0;
}

void
failover_on_view (struct failover *f, const struct primary_view *view,
                  int64_t now)
{
  advance (f, now);
  int at = find_member (f, view->member);
  if (at == INDEX_NONE)
    return;
  f->members[at].view = *view;
  f->members[at].view.received_at = now;
  if (f->has_record && view->term > f->record.term)
    see_term (f, view->term);
}

void
failover_on_released (struct failover *f, uint64_t member, uint64_t term,
                      int64_t now)
{
  advance (f, now);
  int at = find_member (f, member);
  if (at != INDEX_NONE && term > f->members[at].released)
    f->members[at].released = term;
}

void
failover_set_members (struct failover *f, const uint64_t *members, int count,
                      int64_t now)
{
  struct member_view next[CELL_MAX_MEMBERS] = { 0 };
  int kept = 0;
  advance (f, now);
  if (count > CELL_MAX_MEMBERS)
    count = CELL_MAX_MEMBERS;
  for (int i = 0; i < count; i++)
    {
      int at = find_member (f, members[i]);
      next[i].id = members[i];
      if (at == INDEX_NONE)
        continue;
      next[i] = f->members[at];
      kept++;
    }
  if (kept < f->member_count)
    f->member_removed_at = now;
  memcpy (f->members, next, sizeof next);
  f->member_count = count;
}

void
failover_set_leaving (struct failover *f, int endpoint, bool leaving,
                      int64_t now)
{
  advance (f, now);
  if (endpoint >= 0 && endpoint < f->options.endpoint_count)
    f->endpoints[endpoint].leaving = leaving;
}

void
failover_on_members_read (struct failover *f, int64_t sent_at, int64_t now)
{
  advance (f, now);
  f->members_read_at = latest (f->members_read_at, sent_at);
}

/* Whether the primary's host says that nothing listens there. */
static bool
primary_refuses (const struct failover *f, int64_t now)
{
  if (f->options.refused_us == 0 || f->record.primary < 0
      || f->record.primary >= f->options.endpoint_count)
    return false;
  const struct endpoint_view *e = &f->endpoints[f->record.primary];
  return e->refusals >= REFUSED_MIN && now - e->refused_at <= REFUSED_GAP_US
         && e->refused_at - e->refused_since >= f->options.refused_us;
}

struct primary_view
failover_view (const struct failover *f, int64_t now)
{
  struct primary_view view = { .member = f->options.self,
                               .term = f->record.term,
                               .received_at = now };
  int reachable = 0;
  for (int i = 0; i < f->options.endpoint_count; i++)
    reachable += is_reachable (f, i, now);
  view.reaches_majority = reachable >= endpoint_majority (f);
  int64_t heard = latest (f->awake_since, f->term_at);
  if (f->record.primary >= 0 && f->record.primary < f->options.endpoint_count)
    heard = latest (heard, f->endpoints[f->record.primary].answered_at);
  /* A process that is just being resumed has not listened yet. */
  if (now - f->last_now <= PAUSE_US)
    {
      view.silence_us = now - heard;
      view.refused = primary_refuses (f, now);
    }
  return view;
}

/* 0 for no vote, 1 for suspect, 2 for unreachable. */
static int
vote_of (const struct failover *f, const struct primary_view *view)
{
  if (!view->reaches_majority || view->term != f->record.term)
    return 0;
  return (view->silence_us >= f->options.suspect_us || view->refused)
         + (view->silence_us >= f->options.unreachable_us);
}

bool
failover_view_due (struct failover *f, int64_t now)
{
  struct primary_view view = failover_view (f, now);
  int vote = vote_of (f, &view);
  bool changed = vote != f->last_vote;
  f->last_vote = vote;
  if (!changed && (!is_driving (f) || now - f->view_due_at < DRIVER_VIEW_US))
    return false;
  f->view_due_at = now;
  return true;
}

static bool
is_fresh (const struct failover *f, int member, int64_t now)
{
  const struct member_view *m = &f->members[member];
  return m->id == f->options.self
         || (m->view.received_at != 0
             && now - m->view.received_at <= VIEW_FRESH_US);
}

static struct primary_view
member_vote (const struct failover *f, int member, int64_t now)
{
  if (f->members[member].id == f->options.self)
    return failover_view (f, now);
  return f->members[member].view;
}

/* Whether a replica that answers has, or may have, heard from the primary
   since it began to refuse connections.  The first quarter of the time is
   left out, because what a replica heard just before arrives late. */
static bool
replicas_may_hear_primary (const struct failover *f, int64_t now)
{
  int64_t since = f->endpoints[f->record.primary].refused_since;
  for (int i = 0; i < f->options.endpoint_count; i++)
    {
      const struct endpoint_view *e = &f->endpoints[i];
      if (i != f->record.primary && is_reachable (f, i, now)
          && e->status.in_recovery && e->status.term == f->record.term
          && (e->answered_at < since + f->options.refused_us
              || e->answered_at - e->status.primary_age_us
                     > since + f->options.refused_us / 4))
        return true;
    }
  return false;
}

/* Whether a replica that answers has heard from the primary lately. */
static bool
replicas_hear_primary (const struct failover *f, int64_t now)
{
  for (int i = 0; i < f->options.endpoint_count; i++)
    {
      const struct endpoint_status *s = &f->endpoints[i].status;
      if (i != f->record.primary && is_reachable (f, i, now) && s->in_recovery
          && s->term == f->record.term
          && s->primary_age_us < f->options.suspect_us)
        return true;
    }
  return false;
}

/* Decide whether the primary has failed.
   @param rank set to this member's place among those that voted. */
static bool
primary_has_failed (const struct failover *f, int64_t now, int *rank)
{
  int suspect = 0, unreachable = 0;
  struct primary_view own = failover_view (f, now);
  if (find_member (f, f->options.self) == INDEX_NONE || vote_of (f, &own) == 0)
    return false;
  /* Members that were not heard from count against: a daemon that is cut
     off from its cell is never a majority. */
  int majority = f->member_count / 2 + 1;
  for (int i = 0; i < f->member_count; i++)
    {
      if (!is_fresh (f, i, now))
        continue;
      struct primary_view view = member_vote (f, i, now);
      int vote = vote_of (f, &view);
      if (f->members[i].id == f->options.self)
        *rank = suspect;
      suspect += vote >= 1;
      unreachable += vote >= 2;
    }
  bool heard = own.silence_us >= f->options.suspect_us
                   ? replicas_hear_primary (f, now)
                   : replicas_may_hear_primary (f, now);
  return unreachable >= majority || (suspect >= majority && !heard);
}

/* Whether a condition has held for this member's turn. */
static bool
is_turn (struct failover *f, int rank, int64_t stagger, int64_t now)
{
  if (f->due_since == 0)
    f->due_since = now;
  return now - f->due_since >= rank * stagger;
}

static void
want_update (struct failover *f, enum failover_phase phase,
             const struct group_record *r, uint64_t op)
{
  f->wanted = *r;
  f->wanted.version = f->record.version;
  f->wanted.driver = f->options.self;
  f->wanted.op = op;
  f->update = UPDATE_TO_SEND;
  f->update_phase = phase;
  f->due_since = 0;
}

static bool
act (struct failover_action *action, enum failover_action_kind kind,
     int endpoint, const struct failover *f)
{
  *action = (struct failover_action){ .kind = kind,
                                      .endpoint = endpoint,
                                      .term = f->record.term,
                                      .record = f->record };
  return true;
}

static bool
poll_endpoint (struct failover *f, int endpoint, int64_t interval, int64_t now,
               struct failover_action *action)
{
  struct endpoint_view *e = &f->endpoints[endpoint];
  if (e->poll_sent_at != 0 && now - e->poll_sent_at < interval)
    return false;
  e->poll_sent_at = now;
  return act (action, FAILOVER_POLL, endpoint, f);
}

static bool
poll_all (struct failover *f, int64_t now, struct failover_action *action)
{
  for (int i = 0; i < f->options.endpoint_count; i++)
    if (poll_endpoint (f, i, FAST_POLL_US, now, action))
      return true;
  return false;
}

/* Find the primary of a group that has no record yet.
   @return INDEX_NONE if a majority does not agree on one. */
static int
find_first_primary (const struct failover *f, int64_t now)
{
  int primary = INDEX_NONE, agreeing = 0;
  for (int i = 0; i < f->options.endpoint_count; i++)
    {
      const struct endpoint_status *s = &f->endpoints[i].status;
      if (is_reachable (f, i, now) && !s->in_recovery
          && s->term == f->highest_term)
        {
          if (primary != INDEX_NONE)
            return INDEX_NONE;
          primary = i;
        }
    }
  for (int i = 0; i < f->options.endpoint_count; i++)
    {
      const struct endpoint_status *s = &f->endpoints[i].status;
      agreeing += is_reachable (f, i, now) && s->term == f->highest_term
                  && s->fence <= f->highest_term;
    }
  return agreeing >= endpoint_majority (f) ? primary : INDEX_NONE;
}

static void
create_record (struct failover *f, int64_t now, uint64_t op)
{
  int rank = find_member (f, f->options.self);
  int primary = find_first_primary (f, now);
  if (rank == INDEX_NONE || primary == INDEX_NONE)
    {
      f->due_since = 0;
      return;
    }
  if (!is_turn (f, rank, STAGGER_US, now))
    return;
  struct group_record first = { .term = f->highest_term,
                                .primary = primary,
                                .candidate = INDEX_NONE,
                                .phase = FAILOVER_STABLE,
                                .base_term = f->highest_term };
  want_update (f, FAILOVER_AGREEING, &first, op);
}

/* Order a new term; every endpoint is fenced for it anew. */
static void
open_next_term (struct failover *f, uint64_t op)
{
  struct group_record next = f->record;
  next.term = f->highest_term + 1;
  next.phase = FAILOVER_FENCING;
  next.candidate = INDEX_NONE;
  want_update (f, FAILOVER_AGREEING, &next, op);
}

/* Whether this member looks after the replicas of a stable group: the
   driver of the last change, or the first member heard from. */
static bool
is_caretaker (const struct failover *f, int64_t now)
{
  int driver = find_member (f, f->record.driver);
  if (driver != INDEX_NONE && is_fresh (f, driver, now))
    return f->record.driver == f->options.self;
  for (int i = 0; i < f->member_count; i++)
    if (is_fresh (f, i, now))
      return f->members[i].id == f->options.self;
  return false;
}

static bool
must_follow (const struct failover *f, int endpoint, int64_t now)
{
  const struct endpoint_status *s = &f->endpoints[endpoint].status;
  const struct endpoint_status *primary
      = &f->endpoints[f->record.primary].status;
  if (endpoint == f->record.primary || !is_reachable (f, endpoint, now)
      || !s->in_recovery)
    return false;
  return s->term < f->record.term
         || (s->primary_age_us >= f->options.unreachable_us
             && s->received < primary->received);
}

/* Decide whether the primary is to be replaced because it leaves.  The
   replicas alone must be able to give authority and confirm writes, or the
   change would end the service instead of moving it.
   @param rank set to this member's place among those heard from. */
static bool
primary_should_move (const struct failover *f, int64_t now, int *rank)
{
  int replicas = 0, candidates = 0;
  int self = find_member (f, f->options.self);
  const struct endpoint_view *primary = &f->endpoints[f->record.primary];
  if (!primary->leaving || self == INDEX_NONE
      || !is_reachable (f, f->record.primary, now)
      || primary->status.in_recovery || primary->status.term != f->record.term)
    return false;
  for (int i = 0; i < f->options.endpoint_count; i++)
    {
      const struct endpoint_view *e = &f->endpoints[i];
      if (i == f->record.primary || !is_reachable (f, i, now)
          || !e->status.in_recovery || e->status.term != f->record.term
          || e->status.fence > f->record.term)
        continue;
      replicas++;
      candidates += !e->leaving && e->status.received >= primary->earlier_mark;
    }
  *rank = 0;
  for (int i = 0; i < self; i++)
    *rank += is_fresh (f, i, now);
  return candidates > 0 && replicas >= endpoint_majority (f)
         && replicas > f->options.confirm_replicas;
}

static bool
next_stable (struct failover *f, int64_t now, uint64_t op,
             struct failover_action *action)
{
  int rank = 0;
  if (primary_has_failed (f, now, &rank)
      || primary_should_move (f, now, &rank))
    {
      if (is_turn (f, rank, STAGGER_US, now))
        open_next_term (f, op);
    }
  else
    f->due_since = 0;
  if (f->update != UPDATE_NONE)
    return false;
  if (is_reachable (f, f->record.primary, now) && is_caretaker (f, now))
    for (int i = 0; i < f->options.endpoint_count; i++)
      {
        struct endpoint_view *e = &f->endpoints[i];
        if (must_follow (f, i, now)
            && (e->follow_sent_at == 0
                || now - e->follow_sent_at >= FOLLOW_RETRY_US))
          {
            e->follow_sent_at = now;
            return act (action, FAILOVER_FOLLOW, i, f);
          }
      }
  /* Fresh answers shorten the detection, and after a change the time until
     a majority reports the new term. */
  int at_term = 0;
  for (int i = 0; i < f->options.endpoint_count; i++)
    at_term += f->endpoints[i].status.term == f->record.term;
  struct primary_view own = failover_view (f, now);
  const struct endpoint_view *primary = &f->endpoints[f->record.primary];
  bool refuses = f->options.refused_us != 0 && primary->refusals > 0
                 && now - primary->refused_at <= REFUSED_GAP_US;
  if (refuses || own.silence_us >= f->options.suspect_us * 3 / 4
      || (now - f->term_at < SETTLE_US && at_term < endpoint_majority (f)))
    return poll_all (f, now, action);
  return false;
}

/* Time by which a majority carried the marker, 0 if it does not yet.  Who
   set it does not matter, so a driver that takes over counts the lease from
   the polls that showed it the marker. */
static int64_t
majority_fenced_at (const struct failover *f)
{
  int64_t times[GROUP_MAX_ENDPOINTS] = { 0 };
  int count = 0;
  for (int i = 0; i < f->options.endpoint_count; i++)
    {
      const struct endpoint_view *e = &f->endpoints[i];
      if (e->marker < f->record.term)
        continue;
      int at = count++;
      while (at > 0 && times[at - 1] > e->marker_at)
        {
          times[at] = times[at - 1];
          at--;
        }
      times[at] = e->marker_at;
    }
  return count >= endpoint_majority (f) ? times[endpoint_majority (f) - 1] : 0;
}

static bool
members_released (const struct failover *f)
{
  for (int i = 0; i < f->member_count; i++)
    if (f->members[i].released < f->record.term)
      return false;
  return f->member_count > 0;
}

/* Whether everyone who can hold authority for an older term gave it up.
   The member list must have been read after the fence, because a member
   that joined later saw the marker, and one that joined before is on it. */
static bool
all_released (const struct failover *f, int64_t fenced_at, int64_t now)
{
  int64_t settled = latest (f->created_at, f->member_removed_at)
                    + REMOVED_LEASES * f->options.lease_us;
  return now >= settled && f->members_read_at >= fenced_at
         && members_released (f);
}

static bool
authority_is_over (const struct failover *f, int64_t now)
{
  int64_t fenced_at = majority_fenced_at (f);
  return fenced_at != 0
         && (now >= fenced_at + with_clock_drift (f->options.lease_us)
             || all_released (f, fenced_at, now));
}

static uint64_t
position_of (const struct endpoint_view *e)
{
  /* A replica that restarted reports what it received since then. */
  return e->status.received > e->status.replayed ? e->status.received
                                                 : e->status.replayed;
}

/* Whether the endpoint's log is a part of the newest opened term that
   contains everything up to that term's branch start. */
static bool
is_eligible (const struct failover *f, const struct endpoint_view *e)
{
  if (!e->status.in_recovery || e->status.term > f->record.base_term)
    return false;
  if (e->status.term == f->record.base_term)
    return position_of (e) >= f->record.base_start;
  return position_of (e) == f->record.base_start;
}

/* Endpoints other than the old primary that may hold an acknowledged write
   and are not among those counted must be fewer than the confirmations of a
   write.  Without confirmations the rule is that of one, because nothing
   else bounds what is lost. */
static int
needed_holders (const struct failover *f)
{
  int confirm = f->options.confirm_replicas;
  return f->options.endpoint_count - (confirm > 1 ? confirm : 1);
}

/* Whether the endpoint is fenced and its position is final: measured since
   older authority ended, with the receiver stopped. */
static bool
is_final (const struct failover *f, int endpoint, int64_t now)
{
  const struct endpoint_view *e = &f->endpoints[endpoint];
  return e->fenced_term == f->record.term && is_reachable (f, endpoint, now)
         && e->measured_after >= f->over_since
         && e->measured_after > e->follow_sent_at;
}

static bool
leads_base_term (const struct failover *f, int endpoint)
{
  const struct endpoint_status *s = &f->endpoints[endpoint].status;
  return endpoint == f->record.primary && !s->in_recovery
         && s->term == f->record.base_term;
}

/* Whether the old primary is replaced because it leaves, and still works. */
static bool
is_planned (const struct failover *f, int64_t now)
{
  return f->endpoints[f->record.primary].leaving
         && is_reachable (f, f->record.primary, now)
         && leads_base_term (f, f->record.primary);
}

/* Choose among the endpoints that stay and hold all that the old primary
   wrote, which bounds every acknowledged write. */
static int
choose_staying (const struct failover *f, int64_t now)
{
  int primary = f->record.primary;
  if (!is_final (f, primary, now) || !leads_base_term (f, primary))
    return INDEX_NONE;
  for (int i = 0; i < f->options.endpoint_count; i++)
    {
      const struct endpoint_view *e = &f->endpoints[i];
      if (!e->leaving && is_final (f, i, now) && is_eligible (f, e)
          && position_of (e) >= position_of (&f->endpoints[primary]))
        return i;
    }
  return INDEX_NONE;
}

/* Whether @p a is the better candidate.  Position comes first: an endpoint
   that stays but lags may lack an acknowledged write. */
static bool
is_better (const struct endpoint_view *a, const struct endpoint_view *b)
{
  if (position_of (a) != position_of (b))
    return position_of (a) > position_of (b);
  return b->leaving && !a->leaving;
}

/* Choose the endpoint to promote among those whose position is final.
   @return INDEX_NONE while an acknowledged write could be missing. */
static int
choose_candidate (const struct failover *f, int64_t now)
{
  int best = INDEX_NONE, holders = 0;
  int primary = f->record.primary;
  for (int i = 0; i < f->options.endpoint_count; i++)
    {
      const struct endpoint_view *e = &f->endpoints[i];
      if (!is_final (f, i, now))
        continue;
      /* A replaced primary never held a write of the base term.  The old
         primary itself does not count: if it is in recovery, its data was
         replaced. */
      holders += i != primary
                 && (e->status.in_recovery
                     || e->status.term < f->record.base_term);
      if (is_eligible (f, e)
          && (best == INDEX_NONE || is_better (e, &f->endpoints[best])))
        best = i;
    }
  if (best == INDEX_NONE || holders >= needed_holders (f))
    return best;
  /* Nothing is acknowledged any more, so the final position of the old
     primary bounds all that ever was. */
  if (is_final (f, primary, now) && leads_base_term (f, primary)
      && position_of (&f->endpoints[best])
             >= position_of (&f->endpoints[primary]))
    return best;
  return INDEX_NONE;
}

static bool
fence_endpoint (struct failover *f, int endpoint, int64_t now,
                struct failover_action *action)
{
  struct endpoint_view *e = &f->endpoints[endpoint];
  /* A slow endpoint answers late; a second fence would hide which of the
     two its position belongs to. */
  int64_t wait = e->fences_in_flight > 0 ? RESULT_TIMEOUT_US : RETRY_US;
  if (e->fence_sent_at != 0 && now - e->fence_sent_at < wait)
    return false;
  e->fence_sent_at = now;
  e->fences_in_flight++;
  return act (action, FAILOVER_FENCE, endpoint, f);
}

/* Authority is over, but no endpoint can be promoted yet.  If the old
   primary answers, a replica that lags behind it may catch up: the marker
   stays, so this gives no authority. */
static bool
next_catch_up (struct failover *f, int64_t now, struct failover_action *action)
{
  const struct endpoint_view *primary = &f->endpoints[f->record.primary];
  bool can_follow = is_final (f, f->record.primary, now)
                    && leads_base_term (f, f->record.primary);
  for (int i = 0; i < f->options.endpoint_count; i++)
    {
      struct endpoint_view *e = &f->endpoints[i];
      bool lags = can_follow && e->status.in_recovery
                  && is_reachable (f, i, now)
                  && position_of (e) < position_of (primary);
      if (is_final (f, i, now) && lags
          && now - e->follow_sent_at >= COMMAND_TIMEOUT_US)
        {
          e->follow_sent_at = now;
          return act (action, FAILOVER_FOLLOW, i, f);
        }
      if (!is_final (f, i, now)
          && (!lags || now - e->follow_sent_at >= COMMAND_TIMEOUT_US)
          && fence_endpoint (f, i, now, action))
        return true;
    }
  return poll_all (f, now, action);
}

/* Whether to stop the replicas' receivers.  In a planned change they first
   receive what was written before the members released the old term. */
static bool
may_fence (struct failover *f, int64_t now)
{
  if (f->released_since == 0 && members_released (f))
    f->released_since = now;
  return !is_planned (f, now) || now - f->driving_since >= PLANNED_RELEASE_US
         || (f->released_since != 0
             && now - f->released_since >= PLANNED_QUIET_US);
}

static bool
next_fencing (struct failover *f, int64_t now, uint64_t op,
              struct failover_action *action)
{
  int64_t fenced_at = majority_fenced_at (f);
  if (f->over_since == 0 && authority_is_over (f, now))
    {
      f->over_since = now;
      /* Measure every position once more, at once. */
      for (int i = 0; i < f->options.endpoint_count; i++)
        f->endpoints[i].fence_sent_at = 0;
    }
  if (f->over_since != 0)
    {
      int candidate = choose_staying (f, now);
      bool may_wait
          = is_planned (f, now) && now - f->over_since < PLANNED_CATCH_UP_US;
      if (candidate == INDEX_NONE && !may_wait)
        candidate = choose_candidate (f, now);
      if (candidate != INDEX_NONE)
        {
          struct group_record next = f->record;
          next.phase = FAILOVER_PROMOTING;
          next.candidate = candidate;
          next.branch_start = position_of (&f->endpoints[candidate]);
          want_update (f, FAILOVER_CHOOSING, &next, op);
          return false;
        }
      return next_catch_up (f, now, action);
    }
  bool fences = may_fence (f, now);
  for (int i = 0; fences && i < f->options.endpoint_count; i++)
    if (f->endpoints[i].fenced_term < f->record.term
        && fence_endpoint (f, i, now, action))
      return true;
  if (f->release_sent_at == 0 || now - f->release_sent_at >= 2 * RETRY_US)
    {
      f->release_sent_at = now;
      return act (action, FAILOVER_RELEASE, INDEX_NONE, f);
    }
  if (fenced_at != 0 && f->members_read_at < fenced_at
      && (f->members_read_sent_at < fenced_at
          || now - f->members_read_sent_at >= READ_RETRY_US))
    {
      f->members_read_sent_at = now;
      return act (action, FAILOVER_READ_MEMBERS, INDEX_NONE, f);
    }
  return false;
}

/* Whether a new term can be completed without the candidate. */
static bool
can_do_without_candidate (const struct failover *f, int64_t now)
{
  int reachable = 0, holders = 0;
  for (int i = 0; i < f->options.endpoint_count; i++)
    {
      const struct endpoint_status *s = &f->endpoints[i].status;
      if (i == f->record.candidate || !is_reachable (f, i, now))
        continue;
      reachable++;
      holders += i != f->record.primary
                 && (s->in_recovery || s->term < f->record.base_term);
    }
  return reachable >= endpoint_majority (f) && holders >= needed_holders (f);
}

static bool
next_promoting (struct failover *f, int64_t now, uint64_t op,
                struct failover_action *action)
{
  int candidate = f->record.candidate;
  const struct endpoint_view *e = &f->endpoints[candidate];
  bool is_primary = f->may_promote && !e->status.in_recovery;
  if (is_primary && e->status.term == f->record.term)
    {
      struct group_record next = f->record;
      next.phase = FAILOVER_STABLE;
      next.primary = candidate;
      next.base_term = next.term;
      next.base_start = next.branch_start;
      want_update (f, FAILOVER_OPENING, &next, op);
      return false;
    }
  int64_t heard
      = latest (e->answered_at, latest (f->awake_since, f->driving_since));
  /* The candidate leads another term after a command of a replaced driver:
     it cannot be promoted to this one. */
  bool is_lost = now - heard >= f->options.driver_timeout_us
                 || (is_primary && e->status.term != f->record.term);
  /* Its data was replaced since it was fenced: the position it was chosen
     for is no longer known. */
  bool is_reset = f->may_promote && e->answered_at > f->driving_since
                  && e->status.in_recovery && e->status.fence < f->record.term
                  && e->answered_at > f->promote_sent_at + COMMAND_TIMEOUT_US;
  if (is_reset || (is_lost && can_do_without_candidate (f, now)))
    {
      open_next_term (f, op);
      return false;
    }
  if (f->may_promote && e->status.in_recovery
      && (f->promote_sent_at == 0
          || (now - f->promote_sent_at >= COMMAND_TIMEOUT_US / 2
              && e->answered_at > f->promote_sent_at)))
    {
      f->promote_sent_at = now;
      return act (action, FAILOVER_PROMOTE, candidate, f);
    }
  return poll_endpoint (f, candidate, FAST_POLL_US, now, action);
}

/* Replace a driver that is silent, or that makes no progress. */
static void
watch_driver (struct failover *f, int64_t now, uint64_t op)
{
  int self = find_member (f, f->options.self);
  int driver = find_member (f, f->record.driver);
  struct primary_view own = failover_view (f, now);
  int64_t changed = latest (f->record_at, f->awake_since);
  int64_t heard = changed;
  if (driver != INDEX_NONE)
    heard = latest (heard, f->members[driver].view.received_at);
  bool is_due
      = self != INDEX_NONE && own.reaches_majority
        && (now - heard >= f->options.driver_timeout_us / 2
            || now - changed >= STUCK_TIMEOUTS * f->options.driver_timeout_us);
  if (!is_due)
    {
      f->due_since = 0;
      return;
    }
  /* The turn starts after the driver, so that each member is tried. */
  int rank = 0;
  for (int i = (driver + 1) % f->member_count; i != self;
       i = (i + 1) % f->member_count)
    rank += i != driver && is_fresh (f, i, now);
  if (is_turn (f, rank, STAGGER_US, now))
    want_update (f, FAILOVER_AGREEING, &f->record, op);
}

static bool
next_read (struct failover *f, int64_t now, struct failover_action *action)
{
  bool is_late
      = f->update == UPDATE_NONE || now - f->update_sent_at >= UPDATE_LATE_US;
  int64_t interval = is_late ? READ_RETRY_US : READ_BACK_US;
  if (f->read_sent_at != 0 && now - f->read_sent_at < interval)
    return false;
  f->read_sent_at = now;
  return act (action, FAILOVER_READ, INDEX_NONE, f);
}

static bool
next_update (struct failover *f, int64_t now, struct failover_action *action)
{
  if (f->update == UPDATE_TO_SEND && !f->update_in_flight)
    {
      f->update = UPDATE_SENT;
      f->update_sent_at = now;
      f->update_in_flight = true;
      act (action, FAILOVER_UPDATE, INDEX_NONE, f);
      action->term = f->wanted.term;
      action->record = f->wanted;
      return true;
    }
  if (f->update == UPDATE_SENT && now - f->update_sent_at >= RESULT_TIMEOUT_US)
    {
      f->update = UPDATE_UNRESOLVED;
      f->update_in_flight = false;
      f->read_sent_at = 0;
    }
  /* The record shows whether an update took effect, also while its response
     may still come. */
  bool reads_back
      = f->update == UPDATE_SENT && now - f->update_sent_at >= READ_BACK_US;
  return (reads_back || f->update == UPDATE_UNRESOLVED)
         && next_read (f, now, action);
}

bool
failover_next (struct failover *f, int64_t now, uint64_t op,
               struct failover_action *action)
{
  bool found = false;
  advance (f, now);
  if (f->update == UPDATE_NONE)
    {
      if (!f->has_record || f->must_read)
        return next_read (f, now, action);
      if (f->record.version == 0)
        create_record (f, now, op);
      else if (f->record.phase == FAILOVER_STABLE)
        found = next_stable (f, now, op, action);
      else if (!is_driving (f))
        watch_driver (f, now, op);
      else if (f->record.candidate == INDEX_NONE)
        found = next_fencing (f, now, op, action);
      else
        found = next_promoting (f, now, op, action);
    }
  if (!found && f->update != UPDATE_NONE)
    found = next_update (f, now, action);
  return found;
}

enum failover_phase
failover_phase (const struct failover *f)
{
  if (f->update != UPDATE_NONE)
    return f->update_phase;
  if (is_driving (f) && f->record.candidate == INDEX_NONE
      && majority_fenced_at (f) != 0)
    return FAILOVER_WAITING;
  return f->record.phase;
}

const struct group_record *
failover_record (const struct failover *f)
{
  return &f->record;
}
