#include "core/failover.h"

/* Poll interval while the primary is suspected or a promotion is awaited. */
#define FAST_POLL_INTERVAL_US INT64_C (50000)
/* Interval between repetitions of a command that failed. */
#define COMMAND_RETRY_US INT64_C (100000)
/* Interval between reads of an object that does not answer. */
#define READ_RETRY_INTERVAL_US INT64_C (500000)
/* An update without a result is read back after this time, and again at this
   interval until UPDATE_LATE_US.  The platform answers in milliseconds, so
   until then the response was probably lost; afterwards the platform is
   probably down. */
#define READ_BACK_INTERVAL_US INT64_C (100000)
#define UPDATE_LATE_US INT64_C (1000000)
/* Number of refused attempts to connect that counts as evidence, and the
   longest time between two of them. */
#define REFUSED_MIN_ATTEMPTS 4
#define REFUSED_MAX_GAP_US INT64_C (500000)
/* Interval between the views that a driver sends during a change.  With them a
   silent driver is replaced after half of its timeout; heartbeats alone are
   too rare for that. */
#define DRIVER_VIEW_INTERVAL_US INT64_C (100000)
/* Delay per rank before a member acts on a condition that all members see.  An
   update takes a few milliseconds, so a member of the next rank sees the
   update of the one before it. */
#define STAGGER_PER_RANK_US INT64_C (150000)
/* Time between two events from which this process counts as paused: it missed
   two polls. */
#define PAUSE_MIN_US INT64_C (500000)
/* Age up to which a member's view counts: three heartbeats. */
#define VIEW_MAX_AGE_US INT64_C (1500000)
/* A command without a visible effect is repeated after this time. */
#define COMMAND_TIMEOUT_US INT64_C (1000000)
/* Time after which an action without a result counts as lost.  The daemon has
   shorter limits, after which it reports a missing result as lost itself. */
#define RESULT_TIMEOUT_US INT64_C (5000000)
/* Interval between FOLLOW commands to a replica that does not follow. */
#define FOLLOW_RETRY_INTERVAL_US INT64_C (3000000)
/* Number of leases after the removal of a member, or the start of this one,
   for which the driver waits for the lease instead of relying on releases.  A
   member that was removed while it was cut off stops within a few leases. */
#define REMOVED_MEMBER_LEASES 10
/* Number of driver timeouts without progress after which a driver that still
   sends views is replaced. */
#define DRIVER_STUCK_TIMEOUTS 4
/* Wait of a planned change after the members released the old term, so that
   writes which they sent before reach the primary that leaves, and then the
   replicas.  A write to a nearby endpoint takes a few milliseconds. */
#define PLANNED_WRITE_WAIT_US INT64_C (100000)
/* Longest wait of a planned change for the releases of the members, and later
   for replicas that lag; afterwards its steps are those of an unplanned
   change. */
#define PLANNED_RELEASE_MAX_US INT64_C (300000)
#define PLANNED_CATCH_UP_MAX_US INT64_C (500000)
/* Interval between the samples of an endpoint's position.  A planned change
   needs a replica that reached the last but one sample of the primary: such a
   replica receives the rest within PLANNED_CATCH_UP_MAX_US. */
#define POSITION_SAMPLE_INTERVAL_US INT64_C (200000)
/* Time after a change of term during which all endpoints are polled fast until
   a majority reports the new term, which gives authority. */
#define FAST_POLL_AFTER_CHANGE_US INT64_C (2000000)

/* Adds 1% to a lease: the clocks of two daemons run at rates that differ by
   far less. */
static int64_t
with_clock_drift (int64_t lease)
{
  return lease + lease / 100;
}

/* What this member knows about one endpoint. */
struct endpoint_view
{
  struct endpoint_status status;
  /* Time of the newest status; 0: none yet. */
  int64_t answered_at;
  /* Highest fence marker that a fence of this member reported. */
  uint64_t fenced_term;
  /* The status was measured after this time, with the WAL receiver stopped.
     Set by a fence that was the only one in flight. */
  int64_t measured_after;
  /* Highest fence marker in any status, and when it was first seen. */
  uint64_t highest_marker;
  int64_t marker_seen_at;
  int64_t fence_sent_at;
  int fences_in_flight;
  int64_t poll_sent_at;
  int64_t follow_sent_at;
  /* Number of consecutive attempts to connect that were refused, and the time
     of the first and of the newest one. */
  int refusals;
  int64_t refused_since, refused_at;
  bool leaving;
  /* Positions received in the last two statuses that are
     POSITION_SAMPLE_INTERVAL_US apart, and the time of the newer one. */
  uint64_t position_sample, previous_sample;
  int64_t sampled_at;
};

/* What this member knows about one member of the cell. */
struct member_view
{
  uint64_t id;
  /* received_at is 0 before the first view arrives. */
  struct primary_view view;
  /* The member released its authority for all terms below this one. */
  uint64_t released;
};

/* State of this member's update of the group object. */
enum update_state
{
  UPDATE_NONE,
  UPDATE_TO_SEND,
  UPDATE_SENT,
  /* The response to the update was lost. */
  UPDATE_UNRESOLVED
};

struct failover
{
  struct failover_options options;
  int64_t created_at;
  int64_t last_now;
  /* End of the newest pause of this process. */
  int64_t resumed_at;

  struct group_record record;
  bool has_record;
  /* When this version of the record was first seen. */
  int64_t record_seen_at;
  /* When this term and phase were first seen. */
  int64_t phase_seen_at;
  /* The record may be outdated: decide nothing before it is read again. */
  bool must_read;
  /* When the pending read was sent; 0: none is pending. */
  int64_t read_sent_at;
  /* Highest term in any record, view, status or fence marker. */
  uint64_t highest_term;

  enum update_state update;
  /* Phase to show while the update is under way. */
  enum failover_phase update_phase;
  /* Content of the update; version is the one to match. */
  struct group_record update_record;
  int64_t update_sent_at;
  /* The result of the update has not been reported. */
  bool update_in_flight;

  struct endpoint_view endpoints[GROUP_MAX_ENDPOINTS];
  struct member_view members[CELL_MAX_MEMBERS];
  int member_count;
  /* When a member was last found missing from the list; 0: never. */
  int64_t member_removed_at;
  /* Send time of the newest read of the members that was answered. */
  int64_t members_read_at;
  int64_t members_read_sent_at;

  /* Since when a condition asks this member to act; 0: none does.  The member
     acts after a delay that depends on its rank. */
  int64_t stagger_started_at;
  /* When this member became the driver or its phase began. */
  int64_t driving_since;
  /* When the authority for older terms was found to have ended; 0 before. */
  int64_t authority_ended_at;
  /* When all members had released the older terms; 0 before. */
  int64_t released_since;
  /* When this driver last sent these commands in this phase; 0: not yet. */
  int64_t release_sent_at;
  int64_t promote_sent_at;
  /* This driver chose the candidate or received its status. */
  bool may_promote;
  /* Vote of this member at the last call of failover_view_due. */
  int last_vote;
  /* When failover_view_due last asked for the view to be sent. */
  int64_t view_due_at;
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
  f->resumed_at = now;
  f->record.primary = INDEX_NONE;
  f->record.candidate = INDEX_NONE;
  return f;
}

static int64_t
latest (int64_t a, int64_t b)
{
  return a > b ? a : b;
}

/* Detects a pause of this process and sets the time.  A message that did not
   arrive during the pause proves nothing, and the record may have changed. */
static void
detect_pause (struct failover *f, int64_t now)
{
  if (now - f->last_now > PAUSE_MIN_US)
    {
      f->resumed_at = now;
      f->stagger_started_at = 0;
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

/* Records a term that was observed.  If it is above the term of the record,
   the record is outdated. */
static void
record_observed_term (struct failover *f, uint64_t term)
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
names_valid_endpoints (const struct failover *f, const struct group_record *r)
{
  int count = f->options.endpoint_count;
  return r->version == 0
         || (r->primary >= 0 && r->primary < count
             && r->candidate >= INDEX_NONE && r->candidate < count);
}

/* Adopts the current record of the platform.  A change of term or phase, or of
   the driver to this member, starts its commands anew. */
static void
adopt_record (struct failover *f, const struct group_record *r, int64_t now)
{
  bool was_driving = is_driving (f);
  bool phase_changed = !f->has_record || r->term != f->record.term
                       || r->phase != f->record.phase;
  f->record = *r;
  f->has_record = true;
  f->record_seen_at = now;
  f->stagger_started_at = 0;
  if (phase_changed)
    f->phase_seen_at = now;
  if (r->term > f->highest_term)
    f->highest_term = r->term;
  if (phase_changed || (!was_driving && is_driving (f)))
    {
      f->driving_since = now;
      f->authority_ended_at = 0;
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
  detect_pause (f, now);
  if ((f->has_record && r->version < f->record.version)
      || !names_valid_endpoints (f, r))
    return;
  f->must_read = false;
  f->read_sent_at = 0;
  if (f->update != UPDATE_NONE && r->version > f->update_record.version)
    {
      bool mine = r->op == f->update_record.op
                  && r->driver == f->update_record.driver;
      bool chosen = mine && f->update_phase == FAILOVER_CHOOSING;
      f->update = UPDATE_NONE;
      adopt_record (f, r, now);
      f->may_promote = chosen;
      return;
    }
  /* The object is unchanged: the lost update was not applied, or not yet.  A
     new update is conditional on the same version, so at most one of them
     takes effect.  If the record names this member as its driver, the change
     continues from it, whichever update it is. */
  if (f->update == UPDATE_UNRESOLVED)
    f->update = UPDATE_NONE;
  if (!f->has_record || r->version > f->record.version)
    adopt_record (f, r, now);
}

void
failover_on_update (struct failover *f, enum update_result result,
                    uint64_t version, int64_t now)
{
  detect_pause (f, now);
  f->update_in_flight = false;
  if (f->update != UPDATE_SENT && f->update != UPDATE_UNRESOLVED)
    return;
  if (result == UPDATE_DONE && version > f->update_record.version)
    {
      struct group_record done = f->update_record;
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
      /* The daemon reports the current record without a FAILOVER_READ. */
      f->read_sent_at = now;
    }
  else
    {
      f->update = UPDATE_UNRESOLVED;
      f->read_sent_at = 0;
    }
}

static void
record_status (struct failover *f, int endpoint,
               const struct endpoint_status *status, int64_t now)
{
  struct endpoint_view *e = &f->endpoints[endpoint];
  if (e->sampled_at == 0 || now - e->sampled_at >= POSITION_SAMPLE_INTERVAL_US)
    {
      e->previous_sample
          = e->sampled_at == 0 ? status->received : e->position_sample;
      e->position_sample = status->received;
      e->sampled_at = now;
    }
  if (status->fence > e->highest_marker)
    {
      e->highest_marker = status->fence;
      e->marker_seen_at = now;
    }
  e->refusals = 0;
  e->status = *status;
  e->answered_at = now;
  record_observed_term (f, status->term);
  record_observed_term (f, status->fence);
}

void
failover_on_status (struct failover *f, int endpoint,
                    const struct endpoint_status *status, int64_t now)
{
  detect_pause (f, now);
  if (endpoint < 0 || endpoint >= f->options.endpoint_count)
    return;
  record_status (f, endpoint, status, now);
  if (is_driving (f) && endpoint == f->record.candidate)
    f->may_promote = true;
}

void
failover_on_refused (struct failover *f, int endpoint, int64_t now)
{
  detect_pause (f, now);
  if (endpoint < 0 || endpoint >= f->options.endpoint_count)
    return;
  struct endpoint_view *e = &f->endpoints[endpoint];
  if (e->refusals == 0 || now - e->refused_at > REFUSED_MAX_GAP_US)
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
  detect_pause (f, now);
  if (endpoint < 0 || endpoint >= f->options.endpoint_count)
    return;
  struct endpoint_view *e = &f->endpoints[endpoint];
  bool was_only_fence = e->fences_in_flight == 1;
  if (e->fences_in_flight > 0)
    e->fences_in_flight--;
  if (!ok)
    return;
  record_status (f, endpoint, status, now);
  if (was_only_fence)
    e->measured_after = e->fence_sent_at;
  if (status->fence > e->fenced_term)
    e->fenced_term = status->fence;
}

void
failover_on_promoted (struct failover *f, int endpoint, bool ok, int64_t now)
{
  (void)ok;
  detect_pause (f, now);
  /* The answer may be lost or late, so only a poll of the candidate shows
     whether it was promoted. */
  if (endpoint >= 0 && endpoint < f->options.endpoint_count)
    f->endpoints[endpoint].poll_sent_at = 0;
}

void
failover_on_view (struct failover *f, const struct primary_view *view,
                  int64_t now)
{
  detect_pause (f, now);
  int at = find_member (f, view->member);
  if (at == INDEX_NONE)
    return;
  f->members[at].view = *view;
  f->members[at].view.received_at = now;
  if (f->has_record && view->term > f->record.term)
    record_observed_term (f, view->term);
}

void
failover_on_released (struct failover *f, uint64_t member, uint64_t term,
                      int64_t now)
{
  detect_pause (f, now);
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
  detect_pause (f, now);
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
  detect_pause (f, now);
  if (endpoint >= 0 && endpoint < f->options.endpoint_count)
    f->endpoints[endpoint].leaving = leaving;
}

void
failover_on_members_read (struct failover *f, int64_t sent_at, int64_t now)
{
  detect_pause (f, now);
  f->members_read_at = latest (f->members_read_at, sent_at);
}

/* Whether the primary's server refuses connections, so that nothing listens on
   its port. */
static bool
primary_refuses (const struct failover *f, int64_t now)
{
  if (f->options.refused_us == 0 || f->record.primary < 0
      || f->record.primary >= f->options.endpoint_count)
    return false;
  const struct endpoint_view *e = &f->endpoints[f->record.primary];
  return e->refusals >= REFUSED_MIN_ATTEMPTS
         && now - e->refused_at <= REFUSED_MAX_GAP_US
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
  int64_t last_answer_at = latest (f->resumed_at, f->phase_seen_at);
  if (f->record.primary >= 0 && f->record.primary < f->options.endpoint_count)
    last_answer_at
        = latest (last_answer_at, f->endpoints[f->record.primary].answered_at);
  /* A process that resumes after a pause has not received anything yet, so its
     silence stays 0. */
  if (now - f->last_now <= PAUSE_MIN_US)
    {
      view.silence_us = now - last_answer_at;
      view.refused = primary_refuses (f, now);
    }
  return view;
}

/* Returns the member's vote: 0 for none, 1 if the primary is suspect, 2 if it
   is unreachable. */
static int
compute_vote (const struct failover *f, const struct primary_view *view)
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
  int vote = compute_vote (f, &view);
  bool changed = vote != f->last_vote;
  f->last_vote = vote;
  if (!changed
      && (!is_driving (f) || now - f->view_due_at < DRIVER_VIEW_INTERVAL_US))
    return false;
  f->view_due_at = now;
  return true;
}

static bool
view_is_fresh (const struct failover *f, int member, int64_t now)
{
  const struct member_view *m = &f->members[member];
  return m->id == f->options.self
         || (m->view.received_at != 0
             && now - m->view.received_at <= VIEW_MAX_AGE_US);
}

static struct primary_view
primary_view_of_member (const struct failover *f, int member, int64_t now)
{
  if (f->members[member].id == f->options.self)
    return failover_view (f, now);
  return f->members[member].view;
}

/* Whether a reachable replica has, or may have, received data from the primary
   since the primary began to refuse connections.  The first quarter of
   refused_us is left out, because what a replica received just before it is
   reported late. */
static bool
replicas_may_receive_from_primary (const struct failover *f, int64_t now)
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

/* Whether a reachable replica received data from the primary within
   suspect_us. */
static bool
replicas_receive_from_primary (const struct failover *f, int64_t now)
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

/* Decides whether the primary has failed.
   @param rank set to this member's place among the members that voted. */
static bool
primary_has_failed (const struct failover *f, int64_t now, int *rank)
{
  int suspect = 0, unreachable = 0;
  struct primary_view own = failover_view (f, now);
  if (find_member (f, f->options.self) == INDEX_NONE
      || compute_vote (f, &own) == 0)
    return false;
  /* Members whose view is missing or old count as votes against: a daemon that
     is cut off from its cell is never part of a majority. */
  int majority = f->member_count / 2 + 1;
  for (int i = 0; i < f->member_count; i++)
    {
      if (!view_is_fresh (f, i, now))
        continue;
      struct primary_view view = primary_view_of_member (f, i, now);
      int vote = compute_vote (f, &view);
      if (f->members[i].id == f->options.self)
        *rank = suspect;
      suspect += vote >= 1;
      unreachable += vote >= 2;
    }
  /* This member votes before suspect_us of silence only if the primary refuses
     connections; what the replicas received before the refusals then proves
     nothing. */
  bool replicas_are_connected
      = own.silence_us >= f->options.suspect_us
            ? replicas_receive_from_primary (f, now)
            : replicas_may_receive_from_primary (f, now);
  return unreachable >= majority
         || (suspect >= majority && !replicas_are_connected);
}

/* Whether the condition for an action has held for the delay of this member's
   rank. */
static bool
stagger_has_passed (struct failover *f, int rank, int64_t stagger, int64_t now)
{
  if (f->stagger_started_at == 0)
    f->stagger_started_at = now;
  return now - f->stagger_started_at >= rank * stagger;
}

/* Prepares an update of the group object that names this member as the
   driver; phase is shown while the update is under way. */
static void
prepare_update (struct failover *f, enum failover_phase phase,
                const struct group_record *r, uint64_t op)
{
  f->update_record = *r;
  f->update_record.version = f->record.version;
  f->update_record.driver = f->options.self;
  f->update_record.op = op;
  f->update = UPDATE_TO_SEND;
  f->update_phase = phase;
  f->stagger_started_at = 0;
}

/* Fills in an action.  Returns true, as failover_next does for an action. */
static bool
set_action (struct failover_action *action, enum failover_action_kind kind,
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
  return set_action (action, FAILOVER_POLL, endpoint, f);
}

static bool
poll_all (struct failover *f, int64_t now, struct failover_action *action)
{
  for (int i = 0; i < f->options.endpoint_count; i++)
    if (poll_endpoint (f, i, FAST_POLL_INTERVAL_US, now, action))
      return true;
  return false;
}

/* Finds the primary of a group that has no record yet.
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
      f->stagger_started_at = 0;
      return;
    }
  if (!stagger_has_passed (f, rank, STAGGER_PER_RANK_US, now))
    return;
  struct group_record first = { .term = f->highest_term,
                                .primary = primary,
                                .candidate = INDEX_NONE,
                                .phase = FAILOVER_STABLE,
                                .base_term = f->highest_term };
  prepare_update (f, FAILOVER_AGREEING, &first, op);
}

/* Prepares the update that starts a new term; every endpoint is fenced for it
   anew. */
static void
start_next_term (struct failover *f, uint64_t op)
{
  struct group_record next = f->record;
  next.term = f->highest_term + 1;
  next.phase = FAILOVER_FENCING;
  next.candidate = INDEX_NONE;
  prepare_update (f, FAILOVER_AGREEING, &next, op);
}

/* Whether this member sends FOLLOW commands to the replicas of a stable group:
   the driver of the newest change does or, if its view is old, the first
   member with a fresh view. */
static bool
manages_replicas (const struct failover *f, int64_t now)
{
  int driver = find_member (f, f->record.driver);
  if (driver != INDEX_NONE && view_is_fresh (f, driver, now))
    return f->record.driver == f->options.self;
  for (int i = 0; i < f->member_count; i++)
    if (view_is_fresh (f, i, now))
      return f->members[i].id == f->options.self;
  return false;
}

/* Whether a replica follows an old term, or receives nothing although it lags
   behind the primary. */
static bool
needs_follow_command (const struct failover *f, int endpoint, int64_t now)
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

/* Decides whether to replace the primary because it leaves.  The replicas
   alone must be able to give authority, as a majority, and to confirm writes,
   or the change would stop the service instead of moving it.
   @param rank set to this member's place among the members with a fresh
   view. */
static bool
should_replace_leaving_primary (const struct failover *f, int64_t now,
                                int *rank)
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
      candidates
          += !e->leaving && e->status.received >= primary->previous_sample;
    }
  *rank = 0;
  for (int i = 0; i < self; i++)
    *rank += view_is_fresh (f, i, now);
  return candidates > 0 && replicas >= endpoint_majority (f)
         && replicas > f->options.confirm_replicas;
}

static bool
next_stable_action (struct failover *f, int64_t now, uint64_t op,
                    struct failover_action *action)
{
  int rank = 0;
  if (primary_has_failed (f, now, &rank)
      || should_replace_leaving_primary (f, now, &rank))
    {
      if (stagger_has_passed (f, rank, STAGGER_PER_RANK_US, now))
        start_next_term (f, op);
    }
  else
    f->stagger_started_at = 0;
  if (f->update != UPDATE_NONE)
    return false;
  if (is_reachable (f, f->record.primary, now) && manages_replicas (f, now))
    for (int i = 0; i < f->options.endpoint_count; i++)
      {
        struct endpoint_view *e = &f->endpoints[i];
        if (needs_follow_command (f, i, now)
            && (e->follow_sent_at == 0
                || now - e->follow_sent_at >= FOLLOW_RETRY_INTERVAL_US))
          {
            e->follow_sent_at = now;
            return set_action (action, FAILOVER_FOLLOW, i, f);
          }
      }
  /* Frequent polls shorten the detection of a failure and, after a change, the
     time until a majority reports the new term. */
  int at_term = 0;
  for (int i = 0; i < f->options.endpoint_count; i++)
    at_term += f->endpoints[i].status.term == f->record.term;
  struct primary_view own = failover_view (f, now);
  const struct endpoint_view *primary = &f->endpoints[f->record.primary];
  bool refuses = f->options.refused_us != 0 && primary->refusals > 0
                 && now - primary->refused_at <= REFUSED_MAX_GAP_US;
  if (refuses || own.silence_us >= f->options.suspect_us * 3 / 4
      || (now - f->phase_seen_at < FAST_POLL_AFTER_CHANGE_US
          && at_term < endpoint_majority (f)))
    return poll_all (f, now, action);
  return false;
}

/* Returns the time by which a majority of the endpoints had the fence marker,
   0 if it does not have it yet.  It does not matter which driver set the
   marker, so a driver that takes over counts the lease from the polls that
   showed it the marker. */
static int64_t
majority_fenced_at (const struct failover *f)
{
  int64_t times[GROUP_MAX_ENDPOINTS] = { 0 };
  int count = 0;
  for (int i = 0; i < f->options.endpoint_count; i++)
    {
      const struct endpoint_view *e = &f->endpoints[i];
      if (e->highest_marker < f->record.term)
        continue;
      int at = count++;
      while (at > 0 && times[at - 1] > e->marker_seen_at)
        {
          times[at] = times[at - 1];
          at--;
        }
      times[at] = e->marker_seen_at;
    }
  return count >= endpoint_majority (f) ? times[endpoint_majority (f) - 1] : 0;
}

static bool
all_members_released (const struct failover *f)
{
  for (int i = 0; i < f->member_count; i++)
    if (f->members[i].released < f->record.term)
      return false;
  return f->member_count > 0;
}

/* Whether every member that may have had authority for an older term has
   released it.  The member list must have been read after the fence, because a
   member that joined later saw the marker, and one that joined before is on
   the list. */
static bool
authority_was_released (const struct failover *f, int64_t fenced_at,
                        int64_t now)
{
  int64_t removals_expired_at = latest (f->created_at, f->member_removed_at)
                                + REMOVED_MEMBER_LEASES * f->options.lease_us;
  return now >= removals_expired_at && f->members_read_at >= fenced_at
         && all_members_released (f);
}

static bool
authority_has_ended (const struct failover *f, int64_t now)
{
  int64_t fenced_at = majority_fenced_at (f);
  return fenced_at != 0
         && (now >= fenced_at + with_clock_drift (f->options.lease_us)
             || authority_was_released (f, fenced_at, now));
}

static uint64_t
endpoint_position (const struct endpoint_view *e)
{
  /* A replica that restarted reports as received only what arrived after
     that. */
  return e->status.received > e->status.replayed ? e->status.received
                                                 : e->status.replayed;
}

/* Whether the endpoint's log is a part of the newest opened term and contains
   everything up to the branch point of that term. */
static bool
log_is_eligible (const struct failover *f, const struct endpoint_view *e)
{
  if (!e->status.in_recovery || e->status.term > f->record.base_term)
    return false;
  if (e->status.term == f->record.base_term)
    return endpoint_position (e) >= f->record.base_start;
  return endpoint_position (e) == f->record.base_start;
}

/* Returns the number of endpoints other than the old primary whose positions
   must be known.  The others may hold an acknowledged write, so they must be
   fewer than the confirmations of a write.  Without confirmations the rule is
   that of one confirmation, because nothing else bounds what is lost. */
static int
required_position_count (const struct failover *f)
{
  int confirm = f->options.confirm_replicas;
  return f->options.endpoint_count - (confirm > 1 ? confirm : 1);
}

/* Whether the endpoint is fenced and its position is final: it was measured,
   with the receiver stopped, after the authority for older terms ended. */
static bool
has_final_position (const struct failover *f, int endpoint, int64_t now)
{
  const struct endpoint_view *e = &f->endpoints[endpoint];
  return e->fenced_term == f->record.term && is_reachable (f, endpoint, now)
         && e->measured_after >= f->authority_ended_at
         && e->measured_after > e->follow_sent_at;
}

static bool
leads_base_term (const struct failover *f, int endpoint)
{
  const struct endpoint_status *s = &f->endpoints[endpoint].status;
  return endpoint == f->record.primary && !s->in_recovery
         && s->term == f->record.base_term;
}

/* Whether the change is planned: the old primary is replaced because it
   leaves, and still works. */
static bool
is_planned (const struct failover *f, int64_t now)
{
  return f->endpoints[f->record.primary].leaving
         && is_reachable (f, f->record.primary, now)
         && leads_base_term (f, f->record.primary);
}

/* Chooses among the endpoints that do not leave and hold all that the old
   primary wrote, which bounds every acknowledged write. */
static int
choose_staying_candidate (const struct failover *f, int64_t now)
{
  int primary = f->record.primary;
  if (!has_final_position (f, primary, now) || !leads_base_term (f, primary))
    return INDEX_NONE;
  for (int i = 0; i < f->options.endpoint_count; i++)
    {
      const struct endpoint_view *e = &f->endpoints[i];
      if (!e->leaving && has_final_position (f, i, now)
          && log_is_eligible (f, e)
          && endpoint_position (e)
                 >= endpoint_position (&f->endpoints[primary]))
        return i;
    }
  return INDEX_NONE;
}

/* Whether @p a is the better candidate.  The position counts first: an
   endpoint that does not leave but lags may lack an acknowledged write. */
static bool
is_better_candidate (const struct endpoint_view *a,
                     const struct endpoint_view *b)
{
  if (endpoint_position (a) != endpoint_position (b))
    return endpoint_position (a) > endpoint_position (b);
  return b->leaving && !a->leaving;
}

/* Chooses the endpoint to promote among those whose position is final.
   @return INDEX_NONE while an acknowledged write could be missing. */
static int
choose_candidate (const struct failover *f, int64_t now)
{
  int best = INDEX_NONE, known_positions = 0;
  int primary = f->record.primary;
  for (int i = 0; i < f->options.endpoint_count; i++)
    {
      const struct endpoint_view *e = &f->endpoints[i];
      if (!has_final_position (f, i, now))
        continue;
      /* A primary that was replaced before the base term never held a write
         of that term, so it counts although it is not in recovery.  The old
         primary itself does not count: if it is in recovery, its data was
         replaced. */
      known_positions += i != primary
                         && (e->status.in_recovery
                             || e->status.term < f->record.base_term);
      if (log_is_eligible (f, e)
          && (best == INDEX_NONE
              || is_better_candidate (e, &f->endpoints[best])))
        best = i;
    }
  if (best == INDEX_NONE || known_positions >= required_position_count (f))
    return best;
  /* No write is acknowledged any more, so the final position of the old
     primary bounds all acknowledged writes. */
  if (has_final_position (f, primary, now) && leads_base_term (f, primary)
      && endpoint_position (&f->endpoints[best])
             >= endpoint_position (&f->endpoints[primary]))
    return best;
  return INDEX_NONE;
}

static bool
fence_endpoint (struct failover *f, int endpoint, int64_t now,
                struct failover_action *action)
{
  struct endpoint_view *e = &f->endpoints[endpoint];
  /* A slow endpoint answers late.  With a second fence in flight it would be
     unknown to which of the two a reported position belongs. */
  int64_t wait
      = e->fences_in_flight > 0 ? RESULT_TIMEOUT_US : COMMAND_RETRY_US;
  if (e->fence_sent_at != 0 && now - e->fence_sent_at < wait)
    return false;
  e->fence_sent_at = now;
  e->fences_in_flight++;
  return set_action (action, FAILOVER_FENCE, endpoint, f);
}

/* Returns the next action while authority has ended but no endpoint can be
   promoted yet.  If the old primary answers, a replica that lags may follow it
   to catch up: the fence marker stays, so this gives no authority. */
static bool
next_catch_up_action (struct failover *f, int64_t now,
                      struct failover_action *action)
{
  const struct endpoint_view *primary = &f->endpoints[f->record.primary];
  bool can_follow = has_final_position (f, f->record.primary, now)
                    && leads_base_term (f, f->record.primary);
  for (int i = 0; i < f->options.endpoint_count; i++)
    {
      struct endpoint_view *e = &f->endpoints[i];
      bool lags = can_follow && e->status.in_recovery
                  && is_reachable (f, i, now)
                  && endpoint_position (e) < endpoint_position (primary);
      if (has_final_position (f, i, now) && lags
          && now - e->follow_sent_at >= COMMAND_TIMEOUT_US)
        {
          e->follow_sent_at = now;
          return set_action (action, FAILOVER_FOLLOW, i, f);
        }
      if (!has_final_position (f, i, now)
          && (!lags || now - e->follow_sent_at >= COMMAND_TIMEOUT_US)
          && fence_endpoint (f, i, now, action))
        return true;
    }
  return poll_all (f, now, action);
}

/* Whether to fence the endpoints, which stops the replicas' receivers.  In a
   planned change the replicas first receive what was written before the
   members released the old term. */
static bool
should_fence (struct failover *f, int64_t now)
{
  if (f->released_since == 0 && all_members_released (f))
    f->released_since = now;
  return !is_planned (f, now)
         || now - f->driving_since >= PLANNED_RELEASE_MAX_US
         || (f->released_since != 0
             && now - f->released_since >= PLANNED_WRITE_WAIT_US);
}

static bool
next_fencing_action (struct failover *f, int64_t now, uint64_t op,
                     struct failover_action *action)
{
  int64_t fenced_at = majority_fenced_at (f);
  if (f->authority_ended_at == 0 && authority_has_ended (f, now))
    {
      f->authority_ended_at = now;
      /* Fence all endpoints again at once, to measure final positions. */
      for (int i = 0; i < f->options.endpoint_count; i++)
        f->endpoints[i].fence_sent_at = 0;
    }
  if (f->authority_ended_at != 0)
    {
      int candidate = choose_staying_candidate (f, now);
      bool may_wait = is_planned (f, now)
                      && now - f->authority_ended_at < PLANNED_CATCH_UP_MAX_US;
      if (candidate == INDEX_NONE && !may_wait)
        candidate = choose_candidate (f, now);
      if (candidate != INDEX_NONE)
        {
          struct group_record next = f->record;
          next.phase = FAILOVER_PROMOTING;
          next.candidate = candidate;
          next.branch_start = endpoint_position (&f->endpoints[candidate]);
          prepare_update (f, FAILOVER_CHOOSING, &next, op);
          return false;
        }
      return next_catch_up_action (f, now, action);
    }
  bool fences = should_fence (f, now);
  for (int i = 0; fences && i < f->options.endpoint_count; i++)
    if (f->endpoints[i].fenced_term < f->record.term
        && fence_endpoint (f, i, now, action))
      return true;
  if (f->release_sent_at == 0
      || now - f->release_sent_at >= 2 * COMMAND_RETRY_US)
    {
      f->release_sent_at = now;
      return set_action (action, FAILOVER_RELEASE, INDEX_NONE, f);
    }
  if (fenced_at != 0 && f->members_read_at < fenced_at
      && (f->members_read_sent_at < fenced_at
          || now - f->members_read_sent_at >= READ_RETRY_INTERVAL_US))
    {
      f->members_read_sent_at = now;
      return set_action (action, FAILOVER_READ_MEMBERS, INDEX_NONE, f);
    }
  return false;
}

/* Whether a new term could be completed without the current candidate. */
static bool
can_complete_without_candidate (const struct failover *f, int64_t now)
{
  int reachable = 0, known_positions = 0;
  for (int i = 0; i < f->options.endpoint_count; i++)
    {
      const struct endpoint_status *s = &f->endpoints[i].status;
      if (i == f->record.candidate || !is_reachable (f, i, now))
        continue;
      reachable++;
      known_positions += i != f->record.primary
                         && (s->in_recovery || s->term < f->record.base_term);
    }
  return reachable >= endpoint_majority (f)
         && known_positions >= required_position_count (f);
}

static bool
next_promoting_action (struct failover *f, int64_t now, uint64_t op,
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
      prepare_update (f, FAILOVER_OPENING, &next, op);
      return false;
    }
  int64_t last_answer_at
      = latest (e->answered_at, latest (f->resumed_at, f->driving_since));
  /* The candidate leads another term, because it received a command of a
     replaced driver: it cannot be promoted to this term. */
  bool is_lost = now - last_answer_at >= f->options.driver_timeout_us
                 || (is_primary && e->status.term != f->record.term);
  /* The candidate's data was replaced after it was fenced: its position is no
     longer the one for which it was chosen. */
  bool is_reset = f->may_promote && e->answered_at > f->driving_since
                  && e->status.in_recovery && e->status.fence < f->record.term
                  && e->answered_at > f->promote_sent_at + COMMAND_TIMEOUT_US;
  if (is_reset || (is_lost && can_complete_without_candidate (f, now)))
    {
      start_next_term (f, op);
      return false;
    }
  if (f->may_promote && e->status.in_recovery
      && (f->promote_sent_at == 0
          || (now - f->promote_sent_at >= COMMAND_TIMEOUT_US / 2
              && e->answered_at > f->promote_sent_at)))
    {
      f->promote_sent_at = now;
      return set_action (action, FAILOVER_PROMOTE, candidate, f);
    }
  return poll_endpoint (f, candidate, FAST_POLL_INTERVAL_US, now, action);
}

/* Takes the change over from a driver that is silent or makes no progress. */
static void
replace_stalled_driver (struct failover *f, int64_t now, uint64_t op)
{
  int self = find_member (f, f->options.self);
  int driver = find_member (f, f->record.driver);
  struct primary_view own = failover_view (f, now);
  int64_t last_change_at = latest (f->record_seen_at, f->resumed_at);
  int64_t last_view_at = last_change_at;
  if (driver != INDEX_NONE)
    last_view_at = latest (last_view_at, f->members[driver].view.received_at);
  bool is_due
      = self != INDEX_NONE && own.reaches_majority
        && (now - last_view_at >= f->options.driver_timeout_us / 2
            || now - last_change_at
                   >= DRIVER_STUCK_TIMEOUTS * f->options.driver_timeout_us);
  if (!is_due)
    {
      f->stagger_started_at = 0;
      return;
    }
  /* The ranks start with the member after the driver, so that each member is
     tried in turn. */
  int rank = 0;
  for (int i = (driver + 1) % f->member_count; i != self;
       i = (i + 1) % f->member_count)
    rank += i != driver && view_is_fresh (f, i, now);
  if (stagger_has_passed (f, rank, STAGGER_PER_RANK_US, now))
    prepare_update (f, FAILOVER_AGREEING, &f->record, op);
}

static bool
next_read_action (struct failover *f, int64_t now,
                  struct failover_action *action)
{
  bool is_late
      = f->update == UPDATE_NONE || now - f->update_sent_at >= UPDATE_LATE_US;
  int64_t interval = is_late ? READ_RETRY_INTERVAL_US : READ_BACK_INTERVAL_US;
  if (f->read_sent_at != 0 && now - f->read_sent_at < interval)
    return false;
  f->read_sent_at = now;
  return set_action (action, FAILOVER_READ, INDEX_NONE, f);
}

static bool
next_update_action (struct failover *f, int64_t now,
                    struct failover_action *action)
{
  if (f->update == UPDATE_TO_SEND && !f->update_in_flight)
    {
      f->update = UPDATE_SENT;
      f->update_sent_at = now;
      f->update_in_flight = true;
      set_action (action, FAILOVER_UPDATE, INDEX_NONE, f);
      action->term = f->update_record.term;
      action->record = f->update_record;
      return true;
    }
  if (f->update == UPDATE_SENT && now - f->update_sent_at >= RESULT_TIMEOUT_US)
    {
      f->update = UPDATE_UNRESOLVED;
      f->update_in_flight = false;
      f->read_sent_at = 0;
    }
  /* The record shows whether an update took effect, even while the response to
     it may still arrive. */
  bool reads_back = f->update == UPDATE_SENT
                    && now - f->update_sent_at >= READ_BACK_INTERVAL_US;
  return (reads_back || f->update == UPDATE_UNRESOLVED)
         && next_read_action (f, now, action);
}

bool
failover_next (struct failover *f, int64_t now, uint64_t op,
               struct failover_action *action)
{
  bool found = false;
  detect_pause (f, now);
  if (f->update == UPDATE_NONE)
    {
      if (!f->has_record || f->must_read)
        return next_read_action (f, now, action);
      if (f->record.version == 0)
        create_record (f, now, op);
      else if (f->record.phase == FAILOVER_STABLE)
        found = next_stable_action (f, now, op, action);
      else if (!is_driving (f))
        replace_stalled_driver (f, now, op);
      else if (f->record.candidate == INDEX_NONE)
        found = next_fencing_action (f, now, op, action);
      else
        found = next_promoting_action (f, now, op, action);
    }
  if (!found && f->update != UPDATE_NONE)
    found = next_update_action (f, now, action);
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
