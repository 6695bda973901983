#include "common/log.h"
#include "platform/objects.h"
#include "platform/store.h"
#include "session/directory.h"
#include "session/evacuation.h"
#include "session/fleet.h"
#include "session/service.h"

#include <inttypes.h>

/* Longest wait for the other answers to a survey once one endpoint has
   answered. */
#define SURVEY_TIMEOUT_US (150 * USEC_PER_MSEC)
/* A survey in which no endpoint was fit is repeated after this time: longer
   than a probe of a silent endpoint. */
#define RESURVEY_US (500 * USEC_PER_MSEC)
/* Pause between two status requests to the same endpoint. */
#define STATUS_PERIOD_US (100 * USEC_PER_MSEC)
/* Earliest time after the promotion order at which the target may lead. */
#define FIRST_STATUS_DELAY_US (500 * USEC_PER_MSEC)
/* Time limit of one call to the platform. */
#define CALL_TIMEOUT_MS 700
/* Pause before a call to the platform that failed is repeated. */
#define RETRY_DELAY_US (120 * USEC_PER_MSEC)
/* After this time without success in writing a record, or in reading one that
   is needed, the service is released to a member that reaches the store. */
#define HANDOVER_DELAY_US (350 * USEC_PER_MSEC)
/* A promotion order without effect is repeated after this time. */
#define AWAIT_TIMEOUT_US (2500 * USEC_PER_MSEC)
/* A new owner waits this long to read the promotion record, and longer if a
   promotion may be missed without it. */
#define RECORD_WAIT_US (300 * USEC_PER_MSEC)
/* If no primary has answered this long after a takeover, a replica is
   promoted. */
#define NO_PRIMARY_TIMEOUT_US (700 * USEC_PER_MSEC)
/* Time for transactions to end at a primary that is to be replaced as
   planned. */
#define HANDOFF_DRAIN_US (1000 * USEC_PER_MSEC)
/* Pause after a planned change for which no replica was ready. */
#define HANDOFF_RETRY_US (1000 * USEC_PER_MSEC)
/* Term of a service that no promotion has changed. */
#define FIRST_TERM 1
/* If all endpoints that are listed may have forked logs for this time, the
   others are taken for lost and one of these is promoted, unless it is known
   to have commits that were rolled back: longer than a restart of an endpoint.
 */
#define FORK_WAIT_US (20 * USEC_PER_SEC)
/* If no endpoint that is listed has all acknowledged commits for this time,
   the one that had them is taken for lost: longer than a restart of an
   endpoint. */
#define COMMITS_WAIT_US (20 * USEC_PER_SEC)

/** A call to the platform.  Only the answer to the newest call counts; late
 * answers to older ones are ignored. */
struct promotion_call
{
  struct service *service;
  uint64_t number;
};

static struct promotion_call *
begin_call (struct service *s)
{
  struct promotion_call *call = talloc_zero (s, struct promotion_call);
  call->service = s;
  call->number = ++s->last_call_number;
  s->call_in_progress = true;
  return call;
}

/* Free a call that was answered.
   @return its service, NULL if the answer is no longer wanted. */
static struct service *
end_call (struct promotion_call *call)
{
  struct service *s = call->service;
  bool wanted = s->last_call_number == call->number && s->call_in_progress;
  talloc_free (call);
  if (!wanted)
    return NULL;
  s->call_in_progress = false;
  return s;
}

/* Enter a step of the promotion.  From PROMOTION_RECORD on an order may be
   given, which the next owner must know. */
static void
set_step (struct service *s, enum promotion_step step)
{
  static const char *const names[] = { "survey", "record", "order", "await" };
  s->step = step;
  s->step_since = clock_now ();
  s->next_attempt_at = 0;
  if (step == PROMOTION_RECORD)
    {
      s->change_announced_at = s->step_since;
      fleet_set_primary_state (s->sessiond->fleet, s->id, LEASE_CHANGING,
                               s->term);
    }
  log_info (PART,
            "event=promotion step=%s service=%s target=%s token=%" PRIu64
            " since_ms=%" PRId64,
            names[step], s->name, s->target_id != NULL ? s->target_id : "none",
            s->token,
            (s->step_since - s->promotion_decided_at) / USEC_PER_MSEC);
}

static void
set_target (struct service *s, struct endpoint *e)
{
  s->target = e;
  s->ordered_at = 0;
  TALLOC_FREE (s->target_id);
  if (e != NULL)
    s->target_id = talloc_strdup (s, e->id);
}

void
promotion_cancel (struct service *s)
{
  s->call_in_progress = false;
  s->last_call_number++;
  set_target (s, NULL);
  s->token = 0;
  s->is_order_given = false;
}

void
promotion_start (struct service *s, bool planned, const char *reason)
{
  int64_t now = clock_now ();
  if (planned && now < s->promotion_decided_at + HANDOFF_RETRY_US)
    return;
  promotion_cancel (s);
  s->planned = planned;
  s->promotion_decided_at = now;
  s->forked_since = 0;
  s->commits_awaited_since = 0;
  service_set_phase (s, planned ? SERVICE_HANDOFF : SERVICE_REPLACING, reason);
  set_step (s, PROMOTION_SURVEY);
}

/* The promotion record. */

/* @return the newest term of which this member, a voter or the record knows
   the primary; 0 if they know none. */
static uint64_t
known_term (const struct service *s)
{
  uint64_t term = fleet_newest_term (s->sessiond->fleet, s->id);
  if (s->lineage.term > term)
    term = s->lineage.term;
  return s->term > term ? s->term : term;
}

/* @return the newest term that an endpoint knows according to its newest
   answer to STATUS. */
static uint64_t
newest_status_term (const struct service *s)
{
  uint64_t newest = 0;
  for (const struct endpoint *e = s->endpoints; e != NULL; e = e->next)
    if (e->status_at != 0 && e->status_term > newest)
      newest = e->status_term;
  return newest;
}

/* @return the newest term that this member, a voter, the record or an endpoint
   knows; 0 if they know none. */
static uint64_t
newest_term (const struct service *s)
{
  uint64_t known = known_term (s), status = newest_status_term (s);
  return known > status ? known : status;
}

static void
set_open_record (struct service *s, uint64_t revision, struct bstr target,
                 const struct replica_lineage *lineage)
{
  talloc_free (s->open_target);
  s->open_target = bstr_to_text (s, target);
  s->is_record_open = true;
  s->open_record = revision;
  s->open_lineage = *lineage;
  s->is_record_closing = false;
  s->next_closing_at = 0;
}

/* Remember the newest term that the record speaks of.
   @param revision 0: there is no record. */
static void
remember_record (struct service *s, uint64_t revision, uint64_t term)
{
  s->record_read = true;
  s->record_revision = revision;
  s->recorded_term = term;
  s->record_era = store_era (s->sessiond->store);
}

/** A call that records a promotion as done. */
struct record_closing
{
  struct service *service;
  uint64_t revision; /**< Revision of the record that it replaces. */
  uint64_t term;     /**< Term that the promotion began. */
};

static void
on_record_closed (void *data, const struct error *err, const json_t *body)
{
  struct record_closing *c = data;
  struct service *s = c->service;
  uint64_t term = c->term;
  bool is_wanted = s->open_record == c->revision && s->is_record_closing;
  talloc_free (c);
  if (err->code != ERROR_NONE)
    log_warn (PART, "event=record_not_closed service=%s code=%s reason=\"%s\"",
              s->name, error_name (err->code),
              LOG_TEXT (bstr_from (err->text)));
  if (!is_wanted)
    return;
  s->is_record_closing = false;
  bool is_outdated
      = err->code == ERROR_CONFLICT || err->code == ERROR_NOT_FOUND;
  if (err->code == ERROR_NONE)
    remember_record (s, objects_revision (body), term);
  else if (is_outdated)
    {
      s->record_read = false;
      s->next_attempt_at = clock_now () + RETRY_DELAY_US;
    }
  if (err->code == ERROR_NONE || is_outdated)
    s->is_record_open = false;
  else
    s->next_closing_at = clock_now () + RETRY_DELAY_US;
}

/* Record a promotion as done once the term that it began has a primary.  The
   next owner learns from the record which logs belong to that term, even if
   all voters have started again. */
static void
close_record (struct service *s, int64_t now)
{
  if (!s->is_record_open || s->is_record_closing || now < s->next_closing_at
      || s->phase != SERVICE_SERVING || s->primary == NULL
      || s->term < s->open_lineage.term || !service_is_owned (s))
    return;
  if (s->lineage.term < s->term && s->open_lineage.term == s->term
      && s->open_target != NULL
      && strcmp (s->primary->id, s->open_target) == 0)
    s->lineage = s->open_lineage;
  struct promotion_record record = { .endpoint = bstr_from (s->primary->id),
                                     .term = s->term - 1,
                                     .led = s->term };
  if (s->lineage.term == s->term)
    record.position = s->lineage.start;
  struct record_closing *c
      = talloc_zero (s->sessiond->store, struct record_closing);
  c->service = s;
  c->revision = s->open_record;
  c->term = s->term;
  s->is_record_closing = true;
  store_put (s->sessiond->store, objects_promotion_kind (), s->name,
             s->open_record,
             objects_encode_promotion (s->sessiond->options->name, &record),
             CALL_TIMEOUT_MS, on_record_closed, c);
}

static void write_record (struct service *s, uint64_t revision);

/* Adopt what the record says of a promotion that is done: a primary of an
   older term was replaced. */
static void
adopt_done_promotion (struct service *s, const struct promotion_record *record)
{
  if (record->led <= s->lineage.term)
    return;
  s->lineage = (struct replica_lineage){ record->led, record->position };
  if (s->least_term < record->led)
    s->least_term = record->led;
  if (s->phase == SERVICE_SERVING && s->term < record->led)
    {
      if (s->primary != NULL)
        service_drop_links (s->primary, "the primary was replaced");
      s->primary = NULL;
      service_set_phase (s, SERVICE_TAKEOVER, "the record names a newer term");
    }
}

/* Adopt what the record says.
   @return whether the promotion that it names may still take effect. */
static bool
adopt_record (struct service *s, const json_t *body)
{
  struct promotion_record record = objects_decode_promotion (body);
  log_info (PART,
            "event=record service=%s endpoint=%s term=%" PRIu64 " led=%" PRIu64
            " position=%" PRIu64 ".%" PRIu64 " known_term=%" PRIu64,
            s->name, LOG_TEXT (record.endpoint), record.term, record.led,
            record.position.term, record.position.number, known_term (s));
  remember_record (s, objects_revision (body),
                   record.led != 0 ? record.led : record.term + 1);
  if (record.led != 0)
    {
      adopt_done_promotion (s, &record);
      return false;
    }
  bool is_obsolete = record.term < known_term (s);
  set_open_record (
      s, objects_revision (body), record.endpoint,
      &(struct replica_lineage){ record.term + 1, record.position });
  if (!is_obsolete && s->least_term <= record.term)
    s->least_term = record.term + 1;
  return !is_obsolete;
}

static void
on_record_written (void *data, const struct error *err, const json_t *body)
{
  struct service *s = end_call (data);
  if (s == NULL || s->step != PROMOTION_RECORD)
    return;
  if (err->code == ERROR_NONE && objects_revision (body) > 0)
    {
      s->token = objects_revision (body);
      s->is_record_open = false;
      set_step (s, PROMOTION_ORDER);
    }
  else if (err->code == ERROR_CONFLICT && objects_revision (body) > 0
           && !s->record_read)
    {
      /* What it says may rule the target out. */
      adopt_record (s, body);
      set_step (s, PROMOTION_SURVEY);
    }
  else if (err->code == ERROR_CONFLICT && objects_revision (body) > 0)
    write_record (s, objects_revision (body));
  else
    {
      log_warn (PART, "event=record_failed service=%s code=%s reason=\"%s\"",
                s->name, error_name (err->code),
                LOG_TEXT (bstr_from (err->text)));
      s->next_attempt_at = clock_now () + RETRY_DELAY_US;
    }
}

/* Write the promotion record, which replaces @p revision; 0: there is none.
   The new revision is the fencing token, as it grows with every change.  From
   the record the next owner learns which promotion was begun. */
static void
write_record (struct service *s, uint64_t revision)
{
  struct promotion_record record
      = { .endpoint = bstr_from (s->target_id), .term = newest_term (s) };
  if (s->target != NULL)
    record.position = s->target->replica.position;
  s->ordered_lineage
      = (struct replica_lineage){ record.term + 1, record.position };
  store_put (s->sessiond->store, objects_promotion_kind (), s->name, revision,
             objects_encode_promotion (s->sessiond->options->name, &record),
             CALL_TIMEOUT_MS, on_record_written, begin_call (s));
}

static void
on_record_read (void *data, const struct error *err, const json_t *body)
{
  struct service *s = end_call (data);
  if (s == NULL)
    return;
  if (err->code != ERROR_NONE && err->code != ERROR_NOT_FOUND)
    {
      log_warn (PART, "event=record_unread service=%s code=%s reason=\"%s\"",
                s->name, error_name (err->code),
                LOG_TEXT (bstr_from (err->text)));
      s->next_attempt_at = clock_now () + RETRY_DELAY_US;
      return;
    }
  if (err->code == ERROR_NOT_FOUND)
    {
      remember_record (s, 0, 0);
      promotion_tick (s, clock_now ());
      return;
    }
  if (adopt_record (s, body) && s->phase == SERVICE_SERVING)
    promotion_start (s, false, "a previous owner began a promotion");
  else
    promotion_tick (s, clock_now ());
}

void
promotion_resume (struct service *s)
{
  store_get (s->sessiond->store, objects_promotion_kind (), s->name,
             CALL_TIMEOUT_MS, on_record_read, begin_call (s));
}

/* Have the record say what term the service has, if it does not: a restore of
   the store may have lost it or brought back an older one.  The next owner
   needs it once all voters have started again. */
static void
keep_record (struct service *s, int64_t now)
{
  bool is_known
      = s->record_read && s->record_era == store_era (s->sessiond->store);
  if (s->phase != SERVICE_SERVING || s->primary == NULL
      || s->term <= FIRST_TERM || !service_is_owned (s)
      || (is_known && (s->recorded_term >= s->term || s->is_record_open)))
    return;
  if (!is_known && directory_reaches_store (s->sessiond->directory)
      && !s->call_in_progress && now >= s->next_attempt_at)
    promotion_resume (s);
  else if (is_known)
    set_open_record (s, s->record_revision, bstr_from (s->primary->id),
                     &(struct replica_lineage){ .term = s->recorded_term });
}

/* The store may refuse this daemon and serve others.  Release the service to
   one of them, which can read or write the promotion record.
   @param since when this daemon first needed the record.
   @return whether it was released. */
static bool
release_to_store_peer (struct service *s, int64_t since, int64_t now)
{
  uint64_t peer = fleet_store_peer (s->sessiond->fleet);
  if (now - since < HANDOVER_DELAY_US || peer == 0)
    return false;
  log_warn (PART,
            "event=handover service=%s reason=\"only other daemons reach "
            "the store\"",
            s->name);
  fleet_release (s->sessiond->fleet, s->id, peer);
  service_stop (s, "the store cannot be reached from here");
  return true;
}

/* The promotion order. */

/* The target of a promotion is lost: choose again.  If it may have been
   ordered to lead, the previous primary is replaced as far as anybody knows,
   and what a next owner reads in the record holds for this one. */
static void
abandon_target (struct service *s)
{
  if (s->is_order_given)
    {
      set_open_record (s, s->token, bstr_from (s->target_id),
                       &s->ordered_lineage);
      if (s->least_term < s->ordered_lineage.term)
        s->least_term = s->ordered_lineage.term;
      if (s->primary != NULL)
        service_drop_links (s->primary, "another endpoint may lead");
      s->primary = NULL;
      s->planned = false;
      service_set_phase (s, SERVICE_REPLACING, "the ordered primary is lost");
    }
  set_step (s, PROMOTION_SURVEY);
}

static void
on_promotion_ordered (void *data, const struct error *err, const json_t *body)
{
  (void)body;
  struct service *s = end_call (data);
  if (s == NULL || s->step != PROMOTION_ORDER)
    return;
  s->is_order_given |= err->code == ERROR_NONE || err->code == ERROR_UNKNOWN;
  if (err->code == ERROR_NONE)
    {
      set_step (s, PROMOTION_AWAIT);
      if (s->ordered_at == 0)
        s->ordered_at = s->step_since;
      s->next_attempt_at = s->step_since + FIRST_STATUS_DELAY_US;
      return;
    }
  log_warn (PART,
            "event=order_failed service=%s target=%s code=%s "
            "reason=\"%s\"",
            s->name, s->target_id, error_name (err->code),
            LOG_TEXT (bstr_from (err->text)));
  if (err->code == ERROR_CONFLICT)
    {
      if (s->target != NULL)
        service_endpoint_failed (s->target, "the platform says it is not up");
      abandon_target (s);
    }
  else
    s->next_attempt_at = clock_now () + RETRY_DELAY_US;
}

/* Ask the platform to promote the target. */
static void
order_promotion (struct service *s)
{
  store_promote (s->sessiond->store, s->name, s->target_id, s->token,
                 CALL_TIMEOUT_MS, on_promotion_ordered, begin_call (s));
}

/* The survey of the endpoints. */

/* Ask an endpoint for its status, unless it was asked lately. */
static void
request_status (struct endpoint *e, int64_t now)
{
  if (!e->is_probing && e->is_listed && !e->is_wrong_endpoint
      && now >= e->next_status_at)
    {
      e->next_status_at = now + STATUS_PERIOD_US;
      pool_probe (e, true);
    }
}

/* @return the rank of an endpoint among those with the same log, if the
   present primary is not known: the order changes nothing for a primary of a
   term that may be accepted, and a primary of an older term may be replaced
   already. */
static int
candidate_rank (const struct endpoint *e)
{
  if (!e->status_is_primary)
    return 1;
  return e->status_term >= e->service->least_term ? 2 : 0;
}

/* @return the target of a promotion that is not recorded as done; NULL if it
   is not known. */
static const struct endpoint *
find_open_target (const struct service *s)
{
  const struct endpoint *e = s->endpoints;
  if (!s->is_record_open)
    return NULL;
  while (e != NULL && strcmp (e->id, s->open_target) != 0)
    e = e->next;
  return e;
}

/* @return whether a promotion that is not recorded as done may have taken
   effect.  Only its target can tell that it has not: the primary that it began
   may have been served while the store was away, so that neither the record
   nor the target's entry says so. */
static bool
open_promotion_may_be_done (const struct service *s)
{
  const struct endpoint *target = find_open_target (s);
  return s->is_record_open
         && (target == NULL || target->status_at < s->promotion_decided_at
             || target->status_term >= s->open_lineage.term);
}

/* @return the newest term that had a primary, or may have had one. */
static struct replica_lineage
newest_lineage (const struct service *s)
{
  uint64_t term = newest_term (s);
  const struct endpoint *target = find_open_target (s);
  if (open_promotion_may_be_done (s) && s->open_lineage.term > term)
    return s->open_lineage;
  if (target != NULL && target->is_listed && target->claims_primary
      && s->open_lineage.term == term)
    return s->open_lineage;
  if (s->lineage.term < term)
    return (struct replica_lineage){ .term = term };
  return s->lineage;
}

/* Record that only endpoints with forked logs answer. */
static void
record_fork (struct service *s, const struct replica_lineage *lineage,
             int64_t now)
{
  if (s->forked_since != 0)
    return;
  s->forked_since = now;
  log_warn (PART,
            "event=forked service=%s term=%" PRIu64 " start=%" PRIu64
            ".%" PRIu64 " reason=\"the endpoints that answer may have commits "
            "that a promotion rolled back\"",
            s->name, lineage->term, lineage->start.term,
            lineage->start.number);
}

/* @return the endpoint with the newest log among those that answered since
   @p since, NULL if there is none that may be promoted.
   @param all_answered set to whether every endpoint that may be promoted has
   answered. */
static struct endpoint *
find_promotion_candidate (struct service *s, int64_t since, bool *all_answered)
{
  struct replica_view replicas[SERVICE_MAX_ENDPOINTS] = { 0 };
  struct endpoint *endpoints[SERVICE_MAX_ENDPOINTS] = { NULL };
  int count = 0;
  *all_answered = true;
  for (struct endpoint *e = s->endpoints;
       e != NULL && count < SERVICE_MAX_ENDPOINTS; e = e->next)
    {
      if (e == s->primary || !e->is_listed || e->is_wrong_endpoint
          || e->draining || evacuation_use_of (e) != EVACUATION_ALL)
        continue;
      if (e->status_at < since)
        *all_answered = false;
      endpoints[count] = e;
      replicas[count] = e->replica;
      replicas[count].is_primary = false;
      replicas[count].term = e->status_term;
      replicas[count].usable = e->status_at >= since;
      count += replicas[count].usable;
    }
  struct replica_lineage lineage = newest_lineage (s);
  int64_t now = clock_now ();
  int best = replicas_choose_successor (replicas, count, &lineage);
  if (best >= 0)
    s->forked_since = 0;
  else if (count > 0)
    {
      record_fork (s, &lineage, now);
      bool primary_is_listed = s->primary != NULL && s->primary->is_listed;
      /* A promotion that is only open may not have taken effect, and of a term
         that only endpoints tell the start is not known. */
      for (int i = 0; i < count; i++)
        replicas[i].usable
            = s->lineage.term < lineage.term
              || !replicas_has_surely_forked (&replicas[i], &lineage);
      if (*all_answered && !primary_is_listed
          && now - s->forked_since > FORK_WAIT_US)
        best = replicas_choose_successor (replicas, count, NULL);
    }
  for (int i = 0; i < count && best >= 0 && s->primary == NULL; i++)
    if (replicas[i].usable
        && position_compare (replicas[i].position, replicas[best].position)
               == 0
        && candidate_rank (endpoints[i]) > candidate_rank (endpoints[best]))
      best = i;
  return best >= 0 ? endpoints[best] : NULL;
}

/* @return how many replicas have received a commit of the service before it is
   acknowledged. */
static int
sync_replicas (const struct service *s)
{
  const struct service_config *config
      = s->sessiond->config != NULL
            ? config_find_service (s->sessiond->config, bstr_from (s->name))
            : NULL;
  return config != NULL ? config->sync_replicas : 0;
}

/* @return whether a candidate's log has all acknowledged commits.  Either the
   owner knows the newest one of them, or so few endpoints are silent that one
   of the others has it. */
static bool
has_all_commits (const struct service *s, const struct endpoint *candidate)
{
  struct position newest = s->commit_history.newest;
  int silent = 0;
  if (newest.term != 0
      && position_compare (candidate->replica.position, newest) >= 0)
    return true;
  /* The position at which the primary was found may be that of a commit which
     was never acknowledged. */
  if (newest.term != 0 && position_compare (newest, s->branch_point) > 0)
    return false;
  for (const struct endpoint *e = s->endpoints; e != NULL; e = e->next)
    {
      /* The primary that is replaced is not one of its replicas. */
      if (e == s->primary || e == candidate || e->is_wrong_endpoint)
        continue;
      if (e->status_at < s->step_since)
        silent += s->primary != NULL || !e->claims_primary;
      else if (position_compare (e->replica.position,
                                 candidate->replica.position)
               > 0)
        return false;
    }
  return silent < sync_replicas (s);
}

/* @return whether the promotion of the candidate waits for endpoints that may
   have acknowledged commits which it lacks.
   @param all_answered every endpoint that may be promoted has answered. */
static bool
must_await_commits (struct service *s, const struct endpoint *candidate,
                    bool all_answered, int64_t now)
{
  if (sync_replicas (s) <= 0 || has_all_commits (s, candidate))
    {
      s->commits_awaited_since = 0;
      return false;
    }
  if (s->commits_awaited_since == 0)
    {
      s->commits_awaited_since = now;
      log_warn (
          PART,
          "event=commits_awaited service=%s endpoint=%s position=%" PRIu64
          ".%" PRIu64 " newest=%" PRIu64 ".%" PRIu64,
          s->name, candidate->id, candidate->replica.position.term,
          candidate->replica.position.number, s->commit_history.newest.term,
          s->commit_history.newest.number);
    }
  bool is_primary_listed = s->primary != NULL && s->primary->is_listed;
  if (!all_answered || is_primary_listed
      || now - s->commits_awaited_since < COMMITS_WAIT_US)
    return true;
  log_warn (PART,
            "event=commits_given_up service=%s endpoint=%s waited_ms=%" PRId64,
            s->name, candidate->id,
            (now - s->commits_awaited_since) / USEC_PER_MSEC);
  return false;
}

/* @return whether no statement and no writing transaction is at the primary.
 */
static bool
primary_is_idle (const struct service *s)
{
  const struct endpoint *e = s->primary;
  if (e == NULL)
    return true;
  for (const struct pooled_link *p = e->links; p != NULL; p = p->next)
    if (p->pending != NULL
        || (p->transaction != NULL && !p->transaction->reads_only))
      return false;
  return true;
}

/* Keep the primary, as no other endpoint can replace it. */
static void
abandon_plan (struct service *s, const char *reason)
{
  service_set_phase (s, SERVICE_SERVING, reason);
  evacuation_move_failed (s);
}

/* Choose the endpoint to promote, once enough have reported their positions.
   A planned change waits until the primary is idle and a replica has caught
   up, and is abandoned if that takes too long. */
static void
run_survey (struct service *s, int64_t now)
{
  bool all_answered;
  bool may_survey = !s->planned || primary_is_idle (s);
  if (!may_survey && now - s->promotion_decided_at < HANDOFF_DRAIN_US)
    return;
  if (!may_survey)
    service_drop_links (s->primary, "the primary is being replaced");
  for (struct endpoint *e = s->endpoints; e != NULL; e = e->next)
    if (e != s->primary && e->status_at < s->step_since
        && (!e->draining || sync_replicas (s) > 0)
        && evacuation_use_of (e) == EVACUATION_ALL)
      request_status (e, now);
  struct endpoint *best
      = find_promotion_candidate (s, s->step_since, &all_answered);
  if (best == NULL
      || (!all_answered && now - s->step_since < SURVEY_TIMEOUT_US))
    {
      if (s->planned && now - s->promotion_decided_at > 2 * HANDOFF_DRAIN_US)
        abandon_plan (s, "no replica is fit");
      /* Those that have answered may have joined the newest term since. */
      else if (best == NULL && now - s->step_since > RESURVEY_US)
        s->step_since = now;
      return;
    }
  if (s->planned
      && position_compare (best->replica.position, s->commit_history.newest)
             < 0)
    {
      if (now - s->promotion_decided_at > HANDOFF_DRAIN_US + HANDOFF_RETRY_US)
        abandon_plan (s, "no replica has caught up");
      else
        set_step (s, PROMOTION_SURVEY);
      return;
    }
  if (!s->planned && must_await_commits (s, best, all_answered, now))
    {
      if (now - s->step_since > RESURVEY_US)
        s->step_since = now;
      return;
    }
  set_target (s, best);
  set_step (s, PROMOTION_RECORD);
}

bool
promotion_awaits_answer (const struct service *s, const struct endpoint *e)
{
  return s->phase == SERVICE_REPLACING && sync_replicas (s) > 0
         && ((s->step == PROMOTION_SURVEY && e != s->primary)
             || (s->step == PROMOTION_AWAIT && e == s->target));
}

/* @return whether the target leads.  Its term is too low while it is a primary
   that an earlier promotion replaced, or that the order of a previous owner
   may still replace.  After a time in which any order takes effect it is the
   present primary all the same, if no endpoint knows a newer term: the order
   changes nothing for that, and a service that was created again begins with
   low terms. */
static bool
may_lead (const struct service *s, const struct endpoint *e, int64_t now)
{
  bool has_settled
      = s->ordered_at != 0 && now - s->ordered_at > AWAIT_TIMEOUT_US;
  /* A primary whose entry was gone leads in the term that is known. */
  bool is_newer = e->status_term > s->term
                  || (s->primary == NULL && e->status_term == s->term);
  return e->status_is_primary && is_newer
         && e->status_term >= newest_status_term (s)
         && (e->status_term >= s->least_term || has_settled);
}

/* Ask the target whether it leads; repeat the order if it does not in time, or
   choose again if another endpoint knows a newer term. */
static void
await_primary (struct service *s, int64_t now)
{
  if (s->target == NULL)
    {
      abandon_target (s);
      return;
    }
  if (now >= s->next_attempt_at || s->target->claims_primary)
    for (struct endpoint *e = s->endpoints; e != NULL; e = e->next)
      if (e == s->target || s->target->status_term < s->least_term)
        request_status (e, now);
  if (now - s->step_since > AWAIT_TIMEOUT_US)
    set_step (s, s->primary == NULL
                         && s->target->status_term < newest_status_term (s)
                     ? PROMOTION_SURVEY
                     : PROMOTION_ORDER);
}

/* Raise the lowest term of a primary that may be accepted to the one that a
   previous owner announced.  If that owner may have ordered a promotion, its
   primary may be replaced at any time, and must not be accepted. */
static void
raise_least_term (struct service *s)
{
  const struct fleet *f = s->sessiond->fleet;
  uint64_t term = fleet_newest_term (f, s->id);
  if (term > 0 && fleet_is_changing (f, s->id))
    term++;
  if (term > s->least_term)
    s->least_term = term;
}

/* @return whether each endpoint has told its term after all orders of previous
   owners have taken effect. */
static bool
have_all_terms_settled (struct service *s, int64_t now)
{
  int64_t settled_at = s->phase_since + AWAIT_TIMEOUT_US;
  bool have_settled = s->endpoints != NULL && now > settled_at;
  for (struct endpoint *e = s->endpoints; e != NULL && now > settled_at;
       e = e->next)
    if (!e->is_listed || e->is_wrong_endpoint || e->status_at < settled_at)
      {
        have_settled = false;
        request_status (e, now);
      }
  return have_settled;
}

/* @return whether a new owner must read the promotion record before it accepts
   a primary: a promotion order of a previous owner may still take effect, or
   the voters that knew its term may have started again. */
static bool
must_wait_for_record (struct service *s, int64_t now)
{
  const struct fleet *f = s->sessiond->fleet;
  if (s->record_read)
    return false;
  return now - s->phase_since < RECORD_WAIT_US || fleet_is_changing (f, s->id)
         || (!fleet_majority_knows_term (f, s->id)
             && !have_all_terms_settled (s, now));
}

/* Read the promotion record, which a new owner waits for. */
static void
await_record (struct service *s, int64_t now)
{
  if (now - s->phase_since >= RECORD_WAIT_US && !s->is_record_awaited)
    {
      s->is_record_awaited = true;
      log_warn (PART,
                "event=record_awaited service=%s changing=%d voters_term="
                "%" PRIu64 " reason=\"a promotion may be missed without it\"",
                s->name, fleet_is_changing (s->sessiond->fleet, s->id),
                fleet_newest_term (s->sessiond->fleet, s->id));
    }
  if (!s->call_in_progress && now >= s->next_attempt_at)
    promotion_resume (s);
}

/* Find the primary after a takeover, or start a promotion if none answers. */
static void
look_for_primary (struct service *s, int64_t now)
{
  struct endpoint *best = NULL;
  bool all_answered = true;
  bool claimant_is_silent = false;
  bool was_changing = fleet_is_changing (s->sessiond->fleet, s->id);
  raise_least_term (s);
  uint64_t newest = s->term > s->least_term ? s->term : s->least_term;
  /* If most voters have started again, nothing is known of the term: the order
     of a previous owner may begin a newer one, or an endpoint that is silent
     may have it. */
  bool knows_term
      = s->term != 0 || fleet_newest_term (s->sessiond->fleet, s->id) != 0;
  for (struct endpoint *e = s->endpoints; e != NULL; e = e->next)
    {
      if (!e->is_listed || e->is_wrong_endpoint)
        continue;
      if (e->status_at < s->phase_since)
        {
          all_answered = false;
          claimant_is_silent |= e->claims_primary;
          request_status (e, now);
          continue;
        }
      if (e->status_term > newest)
        newest = s->least_term = e->status_term;
      if (e->status_is_primary
          && (best == NULL || e->status_term > best->status_term))
        best = e;
    }
  bool waited = now - s->phase_since > SURVEY_TIMEOUT_US;
  if (must_wait_for_record (s, now))
    {
      await_record (s, now);
      return;
    }
  bool may_be_replaced = !knows_term && (was_changing || claimant_is_silent);
  if (best != NULL && best->status_term >= newest && (all_answered || waited)
      && !may_be_replaced)
    {
      log_info (PART,
                "event=primary_found service=%s endpoint=%s term=%" PRIu64
                " voters_term=%" PRIu64 " record_read=%d waited_ms=%" PRId64,
                s->name, best->id, best->status_term,
                fleet_newest_term (s->sessiond->fleet, s->id), s->record_read,
                (now - s->phase_since) / USEC_PER_MSEC);
      service_set_primary (s, best, best->status_term, best->replica.position);
    }
  else if (now - s->phase_since > NO_PRIMARY_TIMEOUT_US
           && s->endpoints != NULL)
    {
      log_info (PART,
                "event=no_primary service=%s least_term=%" PRIu64
                " changing=%d newest=%s",
                s->name, s->least_term, was_changing,
                best != NULL ? best->id : "none");
      promotion_start (s, false, "no primary answers");
    }
}

/* Record that @p term has a primary, whose log was at @p position when it was
   first seen to lead. */
static void
record_lineage (struct service *s, uint64_t term, struct position position)
{
  if (s->lineage.term == term)
    return;
  s->lineage = (struct replica_lineage){ .term = term };
  /* Otherwise the log has commits of the term already. */
  if (position.term < term)
    s->lineage.start = position;
}

void
promotion_handle_status (struct service *s, struct endpoint *e)
{
  int64_t now = clock_now ();
  if (s->releasing)
    return;
  if (s->phase == SERVICE_TAKEOVER)
    look_for_primary (s, now);
  else if (s->phase == SERVICE_REPLACING || s->phase == SERVICE_HANDOFF)
    {
      if (s->step == PROMOTION_SURVEY)
        run_survey (s, now);
      else if (s->step == PROMOTION_AWAIT && e == s->target
               && may_lead (s, e, now))
        {
          struct endpoint *old = s->primary;
          log_info (PART,
                    "event=promoted service=%s endpoint=%s term=%" PRIu64
                    " took_ms=%" PRId64,
                    s->name, e->id, e->status_term,
                    (now - s->promotion_decided_at) / USEC_PER_MSEC);
          if (old != NULL)
            service_drop_links (old, "the primary was replaced");
          record_lineage (s, e->status_term, e->replica.position);
          set_open_record (s, s->token, bstr_from (e->id), &s->lineage);
          promotion_cancel (s);
          service_set_primary (s, e, e->status_term, e->replica.position);
          close_record (s, now);
        }
    }
}

void
promotion_tick (struct service *s, int64_t now)
{
  close_record (s, now);
  if (s->releasing)
    return;
  keep_record (s, now);
  if (s->phase == SERVICE_TAKEOVER)
    {
      if (directory_reaches_store (s->sessiond->directory)
          || !must_wait_for_record (s, now)
          || !release_to_store_peer (s, s->phase_since, now))
        look_for_primary (s, now);
      return;
    }
  if (s->phase != SERVICE_HANDOFF && s->phase != SERVICE_REPLACING)
    return;
  if (!s->planned && s->primary != NULL && s->primary->failed_since == 0
      && s->step < PROMOTION_ORDER && s->target == NULL)
    {
      /* No endpoint has been chosen or recorded yet. */
      promotion_cancel (s);
      service_set_phase (s, SERVICE_SERVING, "the primary answers again");
      return;
    }
  if (s->planned && s->step < PROMOTION_ORDER && s->target == NULL
      && evacuation_has_ended (s))
    {
      promotion_cancel (s);
      service_set_phase (s, SERVICE_SERVING, "the evacuation has ended");
      return;
    }
  if ((s->step == PROMOTION_RECORD || s->step == PROMOTION_ORDER)
      && !s->is_order_given && !s->call_in_progress && s->target != NULL
      && evacuation_use_of (s->target) != EVACUATION_ALL)
    abandon_target (s);
  switch (s->step)
    {
    case PROMOTION_SURVEY:
      run_survey (s, now);
      break;
    case PROMOTION_RECORD:
      if (!s->call_in_progress && now >= s->next_attempt_at
          && service_is_owned (s)
          && !release_to_store_peer (s, s->step_since, now))
        write_record (s, 0);
      break;
    case PROMOTION_ORDER:
      /* A next owner must be able to learn from the majority that the primary
         is being changed. */
      if (!s->call_in_progress && now >= s->next_attempt_at
          && service_is_owned (s)
          && fleet_confirmed_since (s->sessiond->fleet, s->id,
                                    s->change_announced_at))
        order_promotion (s);
      break;
    default:
      await_primary (s, now);
      break;
    }
}
