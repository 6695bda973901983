/* Offers requests at their arrival times and checks the answers. */
#include "common/clock.h"
#include "tools/load.h"

#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/timerfd.h>
#include <unistd.h>

#define BROWSE_SQL                                                            \
  "SELECT id, item, state FROM bookings WHERE id >= $1 ORDER BY id LIMIT 20"
#define WRITE_SQL                                                             \
  "INSERT INTO bookings (id, organisation, item, state) "                     \
  "VALUES ($1, $2, $3, $4)"
#define SESSION_SQL "SELECT id, state FROM bookings WHERE id = $1"
/* Rows that one browse request reads; its statement repeats the number. */
#define BROWSE_ROWS 20
#define ITEM_COUNT 1000
/* Time after the deadline during which the run waits for late answers. */
#define DRAIN_LIMIT_MS 5000

char *
load_write_id (void *parent, const struct load *load,
               const struct load_organisation *o, uint32_t index)
{
  return talloc_asprintf (parent, "%s-%s-%08" PRIu32, load->run_id, o->name,
                          index);
}

void
load_count_code (struct load_organisation *o, const char *code, uint64_t count)
{
  for (int i = 0; i < LOAD_MAX_CODES; i++)
    {
      struct load_code *entry = &o->codes[i];
      if (entry->count == 0)
        snprintf (entry->text, sizeof entry->text, "%s", code);
      if (strncmp (entry->text, code, sizeof entry->text - 1) == 0)
        {
          entry->count += count;
          return;
        }
    }
}

static struct load_session *
create_session (struct load *load, struct load_organisation *o)
{
  struct load_session *session = talloc_zero (load, struct load_session);
  session->target = (int)(erand48 (o->random_state) * load->target_count);
  return session;
}

/* Makes a session idle. */
static void
return_session (struct load *load, struct load_organisation *o,
                struct load_session *session)
{
  if (o->idle_count == o->idle_capacity)
    {
      o->idle_capacity = o->idle_capacity > 0 ? 2 * o->idle_capacity : 16;
      o->idle_sessions = talloc_realloc (
          load, o->idle_sessions, struct load_session *, o->idle_capacity);
    }
  o->idle_sessions[o->idle_count++] = session;
}

/* Takes a random idle session, so that some sessions read their writes back
   at once and some late.  Opens one more session if none is idle: the load
   does not wait for answers. */
static struct load_session *
take_session (struct load *load, struct load_organisation *o)
{
  if (o->idle_count == 0)
    return create_session (load, o);
  uint32_t at = (uint32_t)(erand48 (o->random_state) * o->idle_count);
  struct load_session *session = o->idle_sessions[at];
  o->idle_sessions[at] = o->idle_sessions[--o->idle_count];
  return session;
}

/* Ends the current gap between acknowledged writes at @p now, which is the
   time of an acknowledgement or the end of the load. */
static void
update_ack_gap (struct load *load, struct load_organisation *o, int64_t now)
{
  if (now > load->end)
    now = load->end;
  if (now - o->last_ack > o->ack_gap)
    {
      o->ack_gap = now - o->last_ack;
      o->ack_gap_start = o->last_ack;
    }
  if (now > o->last_ack)
    o->last_ack = now;
}

/* @return whether @p rows is one row, which starts with @p id. */
static bool
is_only_row (const json_t *rows, const char *id)
{
  const char *found
      = json_string_value (json_array_get (json_array_get (rows, 0), 0));
  return json_array_size (rows) == 1 && found != NULL
         && strcmp (found, id) == 0;
}

static void
record_success (struct load_request *r, const struct load_answer *answer,
                int64_t now)
{
  struct load_organisation *o = r->organisation;
  if (r->class == CLASS_WRITE)
    {
      update_ack_gap (r->load, o, now);
      update_ack_gap (r->load, &r->load->total, now);
      r->session->has_write = true;
      r->session->last_write = r->write_index;
    }
  else if (answer->from_replica)
    o->replica_reads++;
  if (r->class == CLASS_SESSION && !is_only_row (answer->rows, r->params[0]))
    {
      o->violations++;
      fprintf (stderr, "load: read-your-writes violated id=%s\n",
               r->params[0]);
    }
  if (answer->session != NULL)
    {
      talloc_free (r->session->token);
      r->session->token = talloc_strdup (r->session, answer->session);
    }
  histogram_add (&o->latency[r->class], (uint64_t)(now - r->due));
}

static void
on_answer (struct load_request *r, const struct load_answer *answer)
{
  struct load_organisation *o = r->organisation;
  bool ran = answer->outcome == OUTCOME_RAN;
  r->load->in_flight--;
  o->outcomes[r->class][answer->outcome]++;
  if (r->class == CLASS_WRITE)
    {
      o->writes[r->write_index].answered = true;
      o->writes[r->write_index].outcome = answer->outcome;
    }
  if (ran && answer->code == NULL)
    record_success (r, answer, clock_now ());
  else
    load_count_code (o, answer->code != NULL ? answer->code : "none", 1);
  if (answer->outcome == OUTCOME_NOT_RUN)
    {
      bool by_rate
          = answer->code != NULL && strcmp (answer->code, "rate_limited") == 0;
      o->refused_by_rate += by_rate;
      o->wrongful_refusals += by_rate && r->within_rate;
      o->not_run_within_rate += r->within_rate;
    }
  return_session (r->load, o, r->session);
  talloc_free (r);
}

/* Models the organisation's rate and burst by a token bucket; a request within
   them takes one token. @return whether the request is within them. */
static bool
take_rate_token (struct load_organisation *o, int64_t due)
{
  o->tokens += (double)(due - o->tokens_updated_at) / USEC_PER_SEC * o->rate;
  o->tokens_updated_at = due;
  if (o->tokens > o->burst)
    o->tokens = o->burst;
  if (o->tokens < 1)
    return false;
  o->tokens -= 1;
  o->offered_within_rate++;
  return true;
}

static enum load_class
choose_class (struct load_organisation *o)
{
  double at = erand48 (o->random_state);
  if (at < o->class_share[CLASS_WRITE])
    return CLASS_WRITE;
  return at < o->class_share[CLASS_WRITE] + o->class_share[CLASS_SESSION]
             ? CLASS_SESSION
             : CLASS_BROWSE;
}

static void
prepare_write (struct load_request *r)
{
  struct load_organisation *o = r->organisation;
  r->write_index = o->write_count++;
  /* The array is full whenever the index is 0 or a power of two. */
  if ((r->write_index & (r->write_index - 1)) == 0)
    o->writes = talloc_realloc (r->load, o->writes, struct load_write,
                                r->write_index > 0 ? 2 * r->write_index : 1);
  o->writes[r->write_index] = (struct load_write){ 0 };
  r->sql = WRITE_SQL;
  r->to_primary = true;
  r->params[0] = load_write_id (r, r->load, o, r->write_index);
  r->params[1] = o->name;
  r->params[2] = talloc_asprintf (
      r, "item-%d", (int)(erand48 (o->random_state) * ITEM_COUNT));
  r->params[3] = "booked";
  r->param_count = 4;
  r->idempotency_key = r->load->no_keys ? NULL : r->params[0];
}

static void
prepare_browse (struct load_request *r)
{
  const struct load_organisation *o = r->organisation;
  uint32_t first
      = o->write_count > BROWSE_ROWS ? o->write_count - BROWSE_ROWS : 0;
  r->sql = BROWSE_SQL;
  r->freshness = r->load->browse_freshness;
  r->params[0] = load_write_id (r, r->load, o, first);
  r->param_count = 1;
}

/* Sends the request that is due now, unless too many are in flight. */
static void
offer_request (struct load *load, struct load_organisation *o)
{
  struct load_request *r = talloc_zero (load, struct load_request);
  r->load = load;
  r->organisation = o;
  r->class = choose_class (o);
  r->due = o->next_arrival;
  r->freshness = "read-your-writes";
  r->done = on_answer;
  r->within_rate = take_rate_token (o, r->due);
  r->session = take_session (load, o);
  /* A session that has not written yet has nothing to read back. */
  if (r->class == CLASS_SESSION && !r->session->has_write)
    r->class = CLASS_WRITE;
  o->offered[r->class]++;
  if (load->in_flight >= load->max_in_flight)
    {
      o->unsent++;
      return_session (load, o, r->session);
      talloc_free (r);
      return;
    }
  if (r->class == CLASS_WRITE)
    prepare_write (r);
  else if (r->class == CLASS_BROWSE)
    prepare_browse (r);
  else
    {
      r->sql = SESSION_SQL;
      r->write_index = r->session->last_write;
      r->params[0] = load_write_id (r, load, o, r->write_index);
      r->param_count = 1;
    }
  r->target = r->session->target;
  r->session->target = (r->session->target + 1) % load->target_count;
  load->in_flight++;
  load->transport->send (load->transport, r);
}

/* Adds an exponentially distributed time, for a Poisson process. */
static void
schedule_next_arrival (struct load_organisation *o)
{
  double rate = o->rate * o->load_factor;
  o->next_arrival
      += (int64_t)(-log (1 - erand48 (o->random_state)) / rate * USEC_PER_SEC)
         + 1;
}

/* Sets the timer of the next arrival.  It is a timerfd because tevent rounds
   its timers up to 1 ms, which would count as latency. */
static void
set_arrival_timer (struct load *load, int64_t when)
{
  struct itimerspec at
      = { .it_value = { .tv_sec = when / USEC_PER_SEC,
                        .tv_nsec = when % USEC_PER_SEC * 1000 } };
  timerfd_settime (load->arrival_timer_fd, TFD_TIMER_ABSTIME, &at, NULL);
}

/* Offers all requests that are due, and sets the timer of the next. */
static void
offer_due_requests (struct load *load)
{
  int64_t now = clock_now (), next = load->end;
  for (struct load_organisation *o = load->organisations; o != NULL;
       o = o->next)
    {
      while (o->next_arrival <= now && o->next_arrival < load->end)
        {
          offer_request (load, o);
          schedule_next_arrival (o);
        }
      if (o->next_arrival < next)
        next = o->next_arrival;
    }
  set_arrival_timer (load, next);
}

static void
on_arrival_timer (struct tevent_context *ev, struct tevent_fd *fde,
                  uint16_t flags, void *data)
{
  (void)ev, (void)fde, (void)flags;
  struct load *load = data;
  uint64_t expirations;
  if (read (load->arrival_timer_fd, &expirations, sizeof expirations) > 0)
    offer_due_requests (load);
}

static void
on_drain_timeout (struct tevent_context *ev, struct tevent_timer *te,
                  struct timeval now, void *data)
{
  (void)ev, (void)te, (void)now;
  *(bool *)data = true;
}

void
load_run (struct load *load)
{
  bool drain_timed_out = false;
  int64_t length = load->end - load->start;
  load->start = clock_now ();
  load->end = load->start + length;
  load->total.last_ack = load->start;
  for (struct load_organisation *o = load->organisations; o != NULL;
       o = o->next)
    {
      for (int i = 0; i < load->sessions_per_organisation; i++)
        return_session (load, o, create_session (load, o));
      o->last_ack = load->start;
      o->tokens = o->burst;
      o->tokens_updated_at = load->start;
      o->next_arrival = load->start;
      schedule_next_arrival (o);
    }
  load->arrival_timer_fd
      = timerfd_create (CLOCK_BOOTTIME, TFD_CLOEXEC | TFD_NONBLOCK);
  struct tevent_fd *arrival_event
      = tevent_add_fd (load->ev, load, load->arrival_timer_fd, TEVENT_FD_READ,
                       on_arrival_timer, load);
  offer_due_requests (load);
  while (clock_now () < load->end)
    tevent_loop_once (load->ev);
  talloc_free (arrival_event);
  close (load->arrival_timer_fd);
  int64_t drain = (load->deadline_ms + DRAIN_LIMIT_MS) * USEC_PER_MSEC;
  struct tevent_timer *drain_timer = tevent_add_timer (
      load->ev, load,
      tevent_timeval_current_ofs ((uint32_t)(drain / USEC_PER_SEC), 0),
      on_drain_timeout, &drain_timed_out);
  while (load->in_flight > 0 && !drain_timed_out)
    tevent_loop_once (load->ev);
  if (!drain_timed_out)
    talloc_free (drain_timer);
  for (struct load_organisation *o = load->organisations; o != NULL;
       o = o->next)
    update_ack_gap (load, o, load->end);
  update_ack_gap (load, &load->total, load->end);
}
