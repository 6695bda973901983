#include "common/clock.h"
#include "tools/load.h"

#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/timerfd.h>
#include <unistd.h>

/* Rows that one browsing request reads. */
#define BROWSE_SQL                                                            \
  "SELECT id, item, state FROM bookings WHERE id >= $1 ORDER BY id LIMIT 20"
#define WRITE_SQL                                                             \
  "INSERT INTO bookings (id, organisation, item, state) "                     \
  "VALUES ($1, $2, $3, $4)"
#define SESSION_SQL "SELECT id, state FROM bookings WHERE id = $1"
#define BROWSE_ROWS 20
#define ITEMS 1000
/* Time beyond the deadline that answers may take after the run. */
#define DRAIN_MS 5000

char *
load_write_id (void *parent, const struct load *load,
               const struct load_organisation *o, uint32_t index)
{
  return talloc_asprintf (parent, "%s-%s-%08" PRIu32, load->run, o->name,
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
  session->target = (int)(erand48 (o->random) * load->target_count);
  return session;
}

static void
return_session (struct load *load, struct load_organisation *o,
                struct load_session *session)
{
  if (o->idle_count == o->idle_size)
    {
      o->idle_size = o->idle_size > 0 ? 2 * o->idle_size : 16;
      o->idle = talloc_realloc (load, o->idle, struct load_session *,
                                o->idle_size);
    }
  o->idle[o->idle_count++] = session;
}

/* Pick any idle session, so that some read back at once and some late.  The
   load is open: if all of them wait, there is one more. */
static struct load_session *
take_session (struct load *load, struct load_organisation *o)
{
  if (o->idle_count == 0)
    return create_session (load, o);
  uint32_t at = (uint32_t)(erand48 (o->random) * o->idle_count);
  struct load_session *session = o->idle[at];
  o->idle[at] = o->idle[--o->idle_count];
  return session;
}

static void
count_ack (struct load *load, struct load_organisation *o, int64_t now)
{
  if (now > load->end)
    now = load->end;
  if (now - o->last_ack > o->gap)
    {
      o->gap = now - o->last_ack;
      o->gap_at = o->last_ack;
    }
  if (now > o->last_ack)
    o->last_ack = now;
}

static bool
has_row (const json_t *rows, const char *id)
{
  const char *found
      = json_string_value (json_array_get (json_array_get (rows, 0), 0));
  return json_array_size (rows) == 1 && found != NULL
         && strcmp (found, id) == 0;
}

static void
on_success (struct load_request *r, const struct load_answer *answer,
            int64_t now)
{
  struct load_organisation *o = r->organisation;
  if (r->class == CLASS_WRITE)
    {
      count_ack (r->load, o, now);
      count_ack (r->load, &r->load->total, now);
      r->session->has_write = true;
      r->session->last_write = r->write;
    }
  else if (answer->by_replica)
    o->by_replica++;
  if (r->class == CLASS_SESSION && !has_row (answer->rows, r->params[0]))
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
      o->writes[r->write].answered = true;
      o->writes[r->write].outcome = answer->outcome;
    }
  if (ran && answer->code == NULL)
    on_success (r, answer, clock_now ());
  else
    load_count_code (o, answer->code != NULL ? answer->code : "none", 1);
  if (answer->outcome == OUTCOME_NOT_RUN)
    {
      bool by_rate
          = answer->code != NULL && strcmp (answer->code, "rate_limited") == 0;
      o->refused += by_rate;
      o->wrongful += by_rate && r->within_rate;
      o->not_run_within += r->within_rate;
    }
  return_session (r->load, o, r->session);
  talloc_free (r);
}

/* Model of the organisation's rate and burst: one bucket, taken from by the
   requests that fit. */
static bool
is_within_rate (struct load_organisation *o, int64_t due)
{
  o->tokens += (double)(due - o->tokens_at) / USEC_PER_SEC * o->rate;
  o->tokens_at = due;
  if (o->tokens > o->burst)
    o->tokens = o->burst;
  if (o->tokens < 1)
    return false;
  o->tokens -= 1;
  o->within++;
  return true;
}

static enum load_class
choose_class (struct load_organisation *o)
{
  double at = erand48 (o->random);
  if (at < o->share[CLASS_WRITE])
    return CLASS_WRITE;
  return at < o->share[CLASS_WRITE] + o->share[CLASS_SESSION] ? CLASS_SESSION
                                                              : CLASS_BROWSE;
}

static void
fill_write (struct load_request *r)
{
  struct load_organisation *o = r->organisation;
  r->write = o->write_count++;
  if ((r->write & (r->write - 1)) == 0)
    o->writes = talloc_realloc (r->load, o->writes, struct load_write,
                                r->write > 0 ? 2 * r->write : 1);
  o->writes[r->write] = (struct load_write){ 0 };
  r->sql = WRITE_SQL;
  r->to_primary = true;
  r->params[0] = load_write_id (r, r->load, o, r->write);
  r->params[1] = o->name;
  r->params[2]
      = talloc_asprintf (r, "item-%d", (int)(erand48 (o->random) * ITEMS));
  r->params[3] = "booked";
  r->param_count = 4;
  r->key = r->load->no_keys ? NULL : r->params[0];
}

static void
fill_browse (struct load_request *r)
{
  const struct load_organisation *o = r->organisation;
  uint32_t first
      = o->write_count > BROWSE_ROWS ? o->write_count - BROWSE_ROWS : 0;
  r->sql = BROWSE_SQL;
  r->freshness = r->load->browse_freshness;
  r->params[0] = load_write_id (r, r->load, o, first);
  r->param_count = 1;
}

static void
offer (struct load *load, struct load_organisation *o)
{
  struct load_request *r = talloc_zero (load, struct load_request);
  r->load = load;
  r->organisation = o;
  r->class = choose_class (o);
  r->due = o->next_arrival;
  r->freshness = "read-your-writes";
  r->done = on_answer;
  r->within_rate = is_within_rate (o, r->due);
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
    fill_write (r);
  else if (r->class == CLASS_BROWSE)
    fill_browse (r);
  else
    {
      r->sql = SESSION_SQL;
      r->write = r->session->last_write;
      r->params[0] = load_write_id (r, load, o, r->write);
      r->param_count = 1;
    }
  r->target = r->session->target;
  r->session->target = (r->session->target + 1) % load->target_count;
  load->in_flight++;
  load->transport->send (load->transport, r);
}

static void
plan_next (struct load_organisation *o)
{
  double rate = o->rate * o->factor;
  o->next_arrival
      += (int64_t)(-log (1 - erand48 (o->random)) / rate * USEC_PER_SEC) + 1;
}

/* Set the timer of the next arrival.  A timerfd is used because tevent rounds
   its timers up to 1 ms, which would count as latency. */
static void
set_timer (struct load *load, int64_t when)
{
  struct itimerspec at
      = { .it_value = { .tv_sec = when / USEC_PER_SEC,
                        .tv_nsec = when % USEC_PER_SEC * 1000 } };
  timerfd_settime (load->timer_fd, TFD_TIMER_ABSTIME, &at, NULL);
}

static void
offer_due (struct load *load)
{
  int64_t now = clock_now (), next = load->end;
  for (struct load_organisation *o = load->organisations; o != NULL;
       o = o->next)
    {
      while (o->next_arrival <= now && o->next_arrival < load->end)
        {
          offer (load, o);
          plan_next (o);
        }
      if (o->next_arrival < next)
        next = o->next_arrival;
    }
  set_timer (load, next);
}

static void
on_tick (struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags,
         void *data)
{
  (void)ev, (void)fde, (void)flags;
  struct load *load = data;
  uint64_t expirations;
  if (read (load->timer_fd, &expirations, sizeof expirations) > 0)
    offer_due (load);
}

static void
on_drained (struct tevent_context *ev, struct tevent_timer *te,
            struct timeval now, void *data)
{
  (void)ev, (void)te, (void)now;
  *(bool *)data = true;
}

void
load_run (struct load *load)
{
  bool late = false;
  int64_t length = load->end - load->start;
  load->start = clock_now ();
  load->end = load->start + length;
  load->total.last_ack = load->start;
  for (struct load_organisation *o = load->organisations; o != NULL;
       o = o->next)
    {
      for (int i = 0; i < load->sessions; i++)
        return_session (load, o, create_session (load, o));
      o->last_ack = load->start;
      o->tokens = o->burst;
      o->tokens_at = load->start;
      o->next_arrival = load->start;
      plan_next (o);
    }
  load->timer_fd = timerfd_create (CLOCK_BOOTTIME, TFD_CLOEXEC | TFD_NONBLOCK);
  struct tevent_fd *tick = tevent_add_fd (load->ev, load, load->timer_fd,
                                          TEVENT_FD_READ, on_tick, load);
  offer_due (load);
  while (clock_now () < load->end)
    tevent_loop_once (load->ev);
  talloc_free (tick);
  close (load->timer_fd);
  int64_t drain = (load->deadline_ms + DRAIN_MS) * USEC_PER_MSEC;
  struct tevent_timer *alarm = tevent_add_timer (
      load->ev, load,
      tevent_timeval_current_ofs ((uint32_t)(drain / USEC_PER_SEC), 0),
      on_drained, &late);
  while (load->in_flight > 0 && !late)
    tevent_loop_once (load->ev);
  if (!late)
    talloc_free (alarm);
  for (struct load_organisation *o = load->organisations; o != NULL;
       o = o->next)
    count_ack (load, o, load->end);
  count_ack (load, &load->total, load->end);
}
