#include "session/owner.h"

#include "common/log.h"
#include "session/commit_query.h"
#include "session/directory.h"
#include "session/fleet.h"
#include "session/service.h"

#include <inttypes.h>

/* Resolution of time-outs. */
#define TICK_US (20 * USEC_PER_MSEC)
/* Another daemon waits for this long for the answer to its question. */
#define PROBE_TIMEOUT_US (300 * USEC_PER_MSEC)

struct owner
{
  struct relay *relay;
  struct service *services;
};

static struct service *
find_service (const struct owner *o, uint64_t id)
{
  struct service *s = o->services;
  while (s != NULL && s->id != id)
    s = s->next;
  return s;
}

static void
add_service (struct owner *o, const struct service_config *config)
{
  if (find_service (o, config->id) != NULL)
    return;
  struct service *s = talloc_zero (o, struct service);
  s->owner = o;
  s->relay = o->relay;
  s->name = bstr_to_text (s, config->name);
  s->id = config->id;
  s->next = o->services;
  o->services = s;
}

void
owner_config_changed (struct owner *o)
{
  const struct config *config = o->relay->config;
  for (int i = 0; i < config->service_count; i++)
    add_service (o, &config->services[i]);
}

static struct endpoint *
find_endpoint (const struct service *s, struct bstr id)
{
  struct endpoint *e = s->endpoints;
  while (e != NULL && !bstr_equals_text (id, e->id))
    e = e->next;
  return e;
}

static void
update_endpoint (struct service *s, const struct endpoint_entry *entry)
{
  struct endpoint *e = find_endpoint (s, entry->id);
  bool is_new = e == NULL;
  if (is_new)
    {
      e = talloc_zero (s, struct endpoint);
      e->service = s;
      e->id = bstr_to_text (e, entry->id);
      e->next = s->endpoints;
      s->endpoints = e;
    }
  bool restarted = !is_new
                   && (e->born_ms != entry->born_ms
                       || !bstr_equals_text (entry->address, e->address));
  if (restarted)
    {
      log_info (PART, "event=endpoint_restarted service=%s endpoint=%s",
                s->name, e->id);
      service_drop_links (e, "the endpoint was restarted");
      e->view.position = (struct position){ 0, 0 };
      e->status_at = 0;
    }
  if (is_new || restarted)
    {
      talloc_free (e->address);
      e->address = bstr_to_text (e, entry->address);
      e->wrong = false;
    }
  if (!is_new && e->draining != entry->is_draining)
    log_info (PART, "event=endpoint_state service=%s endpoint=%s draining=%d",
              s->name, e->id, entry->is_draining);
  talloc_free (e->failure_domain);
  e->failure_domain = bstr_to_text (e, entry->failure_domain);
  e->born_ms = entry->born_ms;
  e->listed = true;
  e->missing_since = 0;
  e->draining = entry->is_draining;
  e->draining_since = entry->draining_since;
  e->claims_primary = entry->is_primary;
  e->view.slots = entry->slots;
}

static void
update_endpoints (struct service *s)
{
  int count;
  int64_t now = clock_now ();
  const struct endpoint_entry *entries
      = directory_endpoints (s->relay->directory, &count);
  if (s->phase == SERVICE_FOREIGN)
    return;
  for (struct endpoint *e = s->endpoints; e != NULL; e = e->next)
    e->listed = false;
  for (int i = 0; i < count; i++)
    if (bstr_equals_text (entries[i].service, s->name))
      update_endpoint (s, &entries[i]);
  for (struct endpoint *e = s->endpoints; e != NULL; e = e->next)
    if (!e->listed && e->missing_since == 0)
      {
        log_info (PART, "event=endpoint_missing service=%s endpoint=%s",
                  s->name, e->id);
        e->missing_since = now;
      }
  service_dispatch (s);
}

void
owner_endpoints_changed (struct owner *o)
{
  for (struct service *s = o->services; s != NULL; s = s->next)
    update_endpoints (s);
}

void
owner_check (struct owner *o)
{
  int64_t now = clock_now ();
  for (struct service *s = o->services; s != NULL; s = s->next)
    {
      bool owned = fleet_owns_until (o->relay->fleet, s->id) > now;
      if (owned && s->phase == SERVICE_FOREIGN)
        {
          s->record_read = false;
          service_set_phase (s, SERVICE_TAKEOVER, "a majority granted it");
          update_endpoints (s);
          promotion_resume (s);
          promotion_tick (s, now);
        }
      else if (!owned && s->phase != SERVICE_FOREIGN && !s->leaving)
        service_stop (s, "the lease has ended");
    }
}

void
owner_statement (struct owner *o, struct packet *m)
{
  struct service *s = find_service (o, model_id (m->statement.service));
  if (s != NULL)
    {
      service_statement (s, m);
      return;
    }
  struct packet r = { .kind = PACKET_RESULT };
  r.result.session = m->statement.session;
  r.result.sequence = m->statement.sequence;
  r.result.moved = true;
  fleet_send (o->relay->fleet, m->sender.member, &r);
  talloc_free (m);
}

void
owner_abandon (struct owner *o, const struct packet *m)
{
  for (struct service *s = o->services; s != NULL; s = s->next)
    service_abandon (s, m);
}

/* A question of another daemon. */

struct question
{
  struct relay *relay;
  struct link *link;
  uint64_t member;
  struct packet_probe probe;
};

static void
on_reached (void *data, struct link *link, const struct link_answer *answer)
{
  (void)link, (void)answer;
  struct question *q = data;
  struct packet m = { .kind = PACKET_PROBE_ANSWER, .probe = q->probe };
  m.probe.reached = true;
  fleet_send (q->relay->fleet, q->member, &m);
  link_close (q->link);
  talloc_free (q);
}

static void
on_unreached (void *data, struct link *link, const struct link_loss *loss)
{
  (void)link, (void)loss;
  talloc_free (data);
}

static const struct link_ops question_ops
    = { .answered = on_reached, .lost = on_unreached };

static void
on_question_timeout (void *data)
{
  struct question *q = data;
  link_close (q->link);
  talloc_free (q);
}

void
owner_probe (struct owner *o, const struct packet *m)
{
  struct question *q = talloc_zero (o, struct question);
  struct error err = { 0 };
  q->relay = o->relay;
  q->member = m->sender.member;
  q->probe.service = bstr_copy (q, m->probe.service);
  q->probe.endpoint = bstr_copy (q, m->probe.endpoint);
  q->probe.address = bstr_copy (q, m->probe.address);
  q->probe.organisation = bstr_copy (q, m->probe.organisation);
  q->link = link_open (
      o->relay,
      &(struct link_options){ .relay = o->relay,
                              .service = q->probe.service.start,
                              .organisation = q->probe.organisation,
                              .endpoint = q->probe.endpoint.start,
                              .address = q->probe.address.start,
                              .ops = &question_ops,
                              .data = q },
      &err);
  if (q->link == NULL)
    {
      log_warn (PART, "event=probe_failed endpoint=%s reason=\"%s\"",
                q->probe.endpoint.start, err.text);
      talloc_free (q);
      return;
    }
  relay_after (o->relay, q, PROBE_TIMEOUT_US, on_question_timeout, q);
}

void
owner_probed (struct owner *o, const struct packet *m)
{
  struct service *s = find_service (o, model_id (m->probe.service));
  struct endpoint *e = s != NULL ? find_endpoint (s, m->probe.endpoint) : NULL;
  if (e != NULL && m->probe.reached)
    e->reached_by = m->sender.member;
}

void
owner_commit (struct owner *o, const struct packet *m)
{
  struct service *s = find_service (o, m->commit.service);
  struct packet answer = { .kind = PACKET_COMMIT_ANSWER, .commit = m->commit };
  /* Not known yet; the former owner asks again. */
  if (s == NULL || s->leaving || s->phase == SERVICE_FOREIGN
      || s->phase == SERVICE_TAKEOVER || !service_is_owned (s))
    return;
  answer.commit.noted = service_note_commit (s, m->commit.position);
  fleet_send (o->relay->fleet, m->sender.member, &answer);
}

void
owner_leave (struct owner *o)
{
  for (struct service *s = o->services; s != NULL; s = s->next)
    service_leave (s, 0);
}

/* The one with the least to do, and none whose primary is being replaced. */
void
owner_give_one (struct owner *o, uint64_t successor)
{
  struct service *least = NULL;
  for (struct service *s = o->services; s != NULL; s = s->next)
    if (s->phase == SERVICE_SERVING && !s->leaving && service_is_owned (s)
        && (least == NULL || service_pending (s) < service_pending (least)))
      least = s;
  if (least == NULL)
    return;
  log_info (PART, "event=given service=%s pending=%d reason=\"balance\"",
            least->name, service_pending (least));
  service_leave (least, successor);
}

int
owner_count (const struct owner *o)
{
  int count = 0;
  for (const struct service *s = o->services; s != NULL; s = s->next)
    count += s->phase != SERVICE_FOREIGN && service_is_owned (s);
  return count;
}

int
owner_pending (const struct owner *o)
{
  int count = 0;
  for (const struct service *s = o->services; s != NULL; s = s->next)
    count += service_pending (s);
  return count;
}

static void
on_tick (void *data)
{
  struct owner *o = data;
  int64_t now = clock_now ();
  for (struct service *s = o->services; s != NULL; s = s->next)
    {
      service_tick (s, now);
      int64_t patience = o->relay->options->grace_ms * USEC_PER_MSEC / 2;
      if (s->leaving
          && (service_pending (s) == 0 || now - s->leaving_since > patience))
        {
          if (service_is_owned (s))
            fleet_release (o->relay->fleet, s->id, 0);
          service_stop (s, "given up");
        }
    }
}

struct owner *
owner_create (struct relay *r)
{
  struct owner *o = talloc_zero (r, struct owner);
  o->relay = r;
  relay_every (r, o, TICK_US, on_tick, o);
  return o;
}
