#include "session/owner.h"

#include "common/log.h"
#include "session/commit_query.h"
#include "session/directory.h"
#include "session/fleet.h"
#include "session/service.h"

#include <inttypes.h>

/* Period of the check for timeouts. */
#define TICK_PERIOD_US (20 * USEC_PER_MSEC)
/* A probe for a peer ends after this time, as the peer waits little longer for
   the answer. */
#define PROBE_TIMEOUT_US (300 * USEC_PER_MSEC)

/** The services of the configuration, as this daemon runs them. */
struct owner
{
  struct sessiond *sessiond;
  struct service *services;
  struct service *readers; /**< Services of other owners; see reads_only. */
};

static struct service *
find_in_list (struct service *s, uint64_t id)
{
  while (s != NULL && s->id != id)
    s = s->next;
  return s;
}

static struct service *
find_service (const struct owner *o, uint64_t id)
{
  return find_in_list (o->services, id);
}

static struct service *
create_service (struct owner *o, struct bstr name, struct service **list)
{
  struct service *s = talloc_zero (o, struct service);
  s->owner = o;
  s->sessiond = o->sessiond;
  s->name = bstr_to_text (s, name);
  s->id = model_id (name);
  s->hedging = hedging_create (
      s, &(struct hedging_options){ .disabled
                                    = !s->sessiond->options->hedged_reads });
  s->next = *list;
  *list = s;
  return s;
}

static void
add_service (struct owner *o, const struct service_config *config)
{
  if (find_service (o, config->id) == NULL)
    create_service (o, config->name, &o->services);
}

void
owner_config_changed (struct owner *o)
{
  const struct config *config = o->sessiond->config;
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

/* Adopt an entry of an endpoint; connections to an endpoint that was
   restarted are dropped. */
static void
update_endpoint (struct service *s, const struct endpoint_entry *entry)
{
  struct endpoint *e = find_endpoint (s, entry->id);
  bool is_new = e == NULL;
  if (is_new)
    {
      e = talloc_zero (s, struct endpoint);
      e->service = s;
      e->latency = latency_create (e, NULL);
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
      e->replica.position = (struct position){ 0, 0 };
      e->status_at = 0;
    }
  if (is_new || restarted)
    {
      talloc_free (e->address);
      e->address = bstr_to_text (e, entry->address);
      e->is_wrong_endpoint = false;
    }
  if (!is_new && e->draining != entry->is_draining)
    log_info (PART, "event=endpoint_state service=%s endpoint=%s draining=%d",
              s->name, e->id, entry->is_draining);
  talloc_free (e->failure_domain);
  e->failure_domain = bstr_to_text (e, entry->failure_domain);
  e->born_ms = entry->born_ms;
  e->is_listed = true;
  e->missing_since = 0;
  e->draining = entry->is_draining;
  e->draining_since = entry->draining_since;
  e->claims_primary = entry->is_primary;
  if (is_new || restarted || e->replica.slots != entry->slots)
    capacity_start (e, entry->slots);
  e->replica.slots = entry->slots;
}

/* Adopt the newest list of entries for the endpoints of a service. */
static void
update_endpoints (struct service *s)
{
  int count;
  int64_t now = clock_now ();
  const struct endpoint_entry *entries
      = directory_endpoints (s->sessiond->directory, &count);
  if (s->phase == SERVICE_NOT_OWNED)
    return;
  for (struct endpoint *e = s->endpoints; e != NULL; e = e->next)
    e->is_listed = false;
  s->listed_count = 0;
  for (int i = 0; i < count; i++)
    {
      if (!bstr_equals_text (entries[i].service, s->name))
        continue;
      s->listed_count++;
      if (!s->reads_only
          || bstr_equals_text (entries[i].failure_domain,
                               s->sessiond->options->failure_domain))
        update_endpoint (s, &entries[i]);
    }
  for (struct endpoint *e = s->endpoints; e != NULL; e = e->next)
    if (!e->is_listed && e->missing_since == 0)
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
  for (struct service *s = o->readers; s != NULL; s = s->next)
    update_endpoints (s);
}

/* @return the reader of the service; it is created with the first read. */
static struct service *
get_reader (struct owner *o, struct bstr name)
{
  struct service *s = find_in_list (o->readers, model_id (name));
  if (s != NULL)
    return s;
  s = create_service (o, name, &o->readers);
  s->reads_only = true;
  s->phase = SERVICE_SERVING;
  update_endpoints (s);
  return s;
}

int
owner_write_progress (const struct owner *o, struct packet_progress *out,
                      int most)
{
  int count = 0;
  for (const struct service *s = o->services; s != NULL && count < most;
       s = s->next)
    if (s->phase >= SERVICE_SERVING && !s->releasing
        && s->commit_history.newest.term != 0 && service_is_owned (s))
      out[count++]
          = (struct packet_progress){ s->id, s->commit_history.newest };
  return count;
}

void
owner_record_progress (struct owner *o, const struct packet_heartbeat *h,
                       int64_t after)
{
  for (int i = 0; i < h->progress_count; i++)
    {
      struct service *s = find_in_list (o->readers, h->progress[i].service);
      if (s != NULL)
        commit_history_record (&s->commit_history, h->progress[i].position,
                               after);
    }
}

void
owner_check_leases (struct owner *o)
{
  int64_t now = clock_now ();
  for (struct service *s = o->services; s != NULL; s = s->next)
    {
      bool owned = fleet_owns_until (o->sessiond->fleet, s->id) > now;
      if (owned && s->phase == SERVICE_NOT_OWNED)
        {
          s->record_read = false;
          s->is_record_awaited = false;
          service_set_phase (s, SERVICE_TAKEOVER, "a majority granted it");
          update_endpoints (s);
          promotion_resume (s);
          promotion_tick (s, now);
        }
      else if (!owned && s->phase != SERVICE_NOT_OWNED && !s->releasing)
        service_stop (s, "the lease has ended");
    }
}

void
owner_handle_statement (struct owner *o, struct packet *m)
{
  struct service *s = find_service (o, model_id (m->statement.service));
  if (s != NULL && m->statement.for_reader && s->phase == SERVICE_NOT_OWNED)
    {
      service_handle_read (get_reader (o, m->statement.service), m);
      return;
    }
  if (s != NULL)
    {
      service_handle_statement (s, m);
      return;
    }
  struct packet r = { .kind = PACKET_RESULT };
  r.result.session = m->statement.session;
  r.result.sequence = m->statement.sequence;
  r.result.moved = true;
  fleet_answer (o->sessiond->fleet, m, &r);
  talloc_free (m);
}

void
owner_handle_session_end (struct owner *o, const struct packet *m)
{
  for (struct service *s = o->services; s != NULL; s = s->next)
    service_handle_session_end (s, m);
}

/* Probes on behalf of a peer. */

/** A probe of an endpoint for a peer that cannot reach it. */
struct peer_probe
{
  struct sessiond *sessiond;
  struct link *link;
  uint64_t member; /**< Peer that asked. */
  struct packet_probe probe;
};

static void
on_endpoint_reached (void *data, struct link *link,
                     const struct link_answer *answer)
{
  (void)link, (void)answer;
  struct peer_probe *p = data;
  struct packet m = { .kind = PACKET_PROBE_ANSWER, .probe = p->probe };
  m.probe.reached = true;
  fleet_send (p->sessiond->fleet, p->member, &m);
  link_close (p->link);
  talloc_free (p);
}

static void
on_endpoint_lost (void *data, struct link *link, const struct link_loss *loss)
{
  (void)link, (void)loss;
  talloc_free (data);
}

static const struct link_ops peer_probe_ops
    = { .answered = on_endpoint_reached, .lost = on_endpoint_lost };

static void
on_peer_probe_timeout (void *data)
{
  struct peer_probe *p = data;
  link_close (p->link);
  talloc_free (p);
}

void
owner_handle_probe (struct owner *o, const struct packet *m)
{
  struct peer_probe *p = talloc_zero (o, struct peer_probe);
  struct error err = { 0 };
  p->sessiond = o->sessiond;
  p->member = m->sender.member;
  p->probe.service = bstr_copy (p, m->probe.service);
  p->probe.endpoint = bstr_copy (p, m->probe.endpoint);
  p->probe.address = bstr_copy (p, m->probe.address);
  p->probe.organisation = bstr_copy (p, m->probe.organisation);
  p->link = link_open (
      o->sessiond,
      &(struct link_options){ .sessiond = o->sessiond,
                              .service = p->probe.service.start,
                              .organisation = p->probe.organisation,
                              .endpoint = p->probe.endpoint.start,
                              .address = p->probe.address.start,
                              .ops = &peer_probe_ops,
                              .data = p },
      &err);
  if (p->link == NULL)
    {
      log_warn (PART, "event=probe_failed endpoint=%s reason=\"%s\"",
                LOG_TEXT (p->probe.endpoint), LOG_TEXT (bstr_from (err.text)));
      talloc_free (p);
      return;
    }
  sessiond_call_after (o->sessiond, p, PROBE_TIMEOUT_US, on_peer_probe_timeout,
                       p);
}

void
owner_handle_probe_answer (struct owner *o, const struct packet *m)
{
  struct service *s = find_service (o, model_id (m->probe.service));
  struct endpoint *e = s != NULL ? find_endpoint (s, m->probe.endpoint) : NULL;
  if (e != NULL && m->probe.reached)
    e->reached_by = m->sender.member;
}

void
owner_handle_commit_query (struct owner *o, const struct packet *m)
{
  struct service *s = find_service (o, m->commit.service);
  struct packet answer = { .kind = PACKET_COMMIT_ANSWER, .commit = m->commit };
  /* Whether the commit is kept is not known yet; the previous owner asks
     again. */
  if (s == NULL || s->releasing || s->phase == SERVICE_NOT_OWNED
      || s->phase == SERVICE_TAKEOVER || !service_is_owned (s))
    return;
  answer.commit.noted = service_confirm_commit (s, m->commit.position);
  fleet_answer (o->sessiond->fleet, m, &answer);
}

void
owner_release_all (struct owner *o)
{
  for (struct service *s = o->services; s != NULL; s = s->next)
    service_release (s, 0);
}

/* Releases the service with the fewest pending statements and transactions,
   but none whose primary is being replaced. */
void
owner_rebalance_one (struct owner *o, uint64_t successor)
{
  struct service *least = NULL;
  for (struct service *s = o->services; s != NULL; s = s->next)
    if (s->phase == SERVICE_SERVING && !s->releasing && service_is_owned (s)
        && (least == NULL
            || service_pending_count (s) < service_pending_count (least)))
      least = s;
  if (least == NULL)
    return;
  log_info (PART, "event=given service=%s pending=%d reason=\"balance\"",
            least->name, service_pending_count (least));
  service_release (least, successor);
}

int
owner_service_count (const struct owner *o)
{
  int count = 0;
  for (const struct service *s = o->services; s != NULL; s = s->next)
    count += s->phase != SERVICE_NOT_OWNED && service_is_owned (s);
  return count;
}

int
owner_pending_count (const struct owner *o)
{
  int count = 0;
  for (const struct service *s = o->services; s != NULL; s = s->next)
    count += service_pending_count (s);
  for (const struct service *s = o->readers; s != NULL; s = s->next)
    count += service_pending_count (s);
  return count;
}

void
owner_count_remains (const struct owner *o, const char *domain,
                     struct evacuation_remains *remains)
{
  for (const struct service *s = o->services; s != NULL; s = s->next)
    service_count_remains (s, domain, remains);
  for (const struct service *s = o->readers; s != NULL; s = s->next)
    service_count_remains (s, domain, remains);
}

/* Run the periodic checks.  A released service is stopped once nothing of it
   is pending, or after half of the grace time. */
static void
on_tick (void *data)
{
  struct owner *o = data;
  int64_t now = clock_now ();
  for (struct service *s = o->services; s != NULL; s = s->next)
    {
      service_tick (s, now);
      int64_t max_release_us
          = o->sessiond->options->grace_ms * USEC_PER_MSEC / 2;
      if (s->releasing
          && (service_pending_count (s) == 0
              || now - s->releasing_since > max_release_us))
        {
          if (service_is_owned (s))
            fleet_release (o->sessiond->fleet, s->id, 0);
          service_stop (s, "given up");
        }
    }
  for (struct service *s = o->readers; s != NULL; s = s->next)
    service_tick (s, now);
}

struct owner *
owner_create (struct sessiond *r)
{
  struct owner *o = talloc_zero (r, struct owner);
  o->sessiond = r;
  sessiond_call_every (r, o, TICK_PERIOD_US, on_tick, o);
  return o;
}
