#include "daemon/peers.h"

#include "common/clock.h"
#include "common/log.h"
#include "daemon/cell_object.h"
#include "daemon/control.h"
#include "daemon/front.h"
#include "daemon/group.h"
#include "daemon/primary.h"
#include "proto/message.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define PART "peers"

/* Interval of peers_perform_actions; core/cell needs at most 50 ms. */
#define ACTION_INTERVAL_US (20 * USEC_PER_MSEC)
/* Shortest time between two requests to peers for a newer object. */
#define FETCH_INTERVAL_US (500 * USEC_PER_MSEC)

/* Time until an unacknowledged grant is sent again: a few round trips between
   failure domains. */
#define BUDGET_RESEND_US (10 * USEC_PER_MSEC)

/** State of the exchange with the other members. */
struct peers
{
  struct daemon *daemon;
  char *object_name;     /**< Name of the cell object on the platform. */
  int64_t fetch_sent_at; /**< Time of the newest request for an object. */
  bool is_refreshing;    /**< A read of the cell object is in progress. */
};

static void
send_to_address (struct daemon *d, const char *address,
                 const struct message *m)
{
  void *scratch = talloc_new (d);
  struct bstr bytes = message_encode (scratch, m, d->peer_key);
  if (bytes.len <= MESSAGE_MAX_BYTES)
    bus_send (d->bus, address, bytes);
  else
    log_error (PART, "message too large type=%d bytes=%zu", (int)m->type,
               bytes.len);
  talloc_free (scratch);
}

/* Sends a message to a member of the cell; does nothing if the cell's record
   does not have that member. */
static void
send_to_member (struct daemon *d, uint64_t member, struct message *m)
{
  const struct cell_member *to = cell_find (d->cell, member);
  m->from = d->id;
  if (to != NULL)
    send_to_address (d, to->address, m);
}

/* ---- heartbeats ---- */

/* Adds this member's view of each group's primary to a message. */
static void
add_views (struct daemon *d, struct message *m)
{
  m->views = talloc_zero_array (d, struct message_view, MESSAGE_MAX_VIEWS);
  for (struct group *g = d->groups; g != NULL; g = g->next)
    {
      if (g->retired || m->view_count == MESSAGE_MAX_VIEWS)
        continue;
      struct message_view *v = &m->views[m->view_count++];
      snprintf (v->group, sizeof v->group, "%s", g->service);
      v->view = failover_view (g->failover, clock_now ());
    }
}

/* Adds the budget reports to a message. */
static void
add_reports (struct daemon *d, struct message *m)
{
  struct budget_report report;
  int64_t now = clock_now ();
  m->reports
      = talloc_zero_array (d, struct budget_report, MESSAGE_MAX_REPORTS);
  for (int i = 0; m->report_count < MESSAGE_MAX_REPORTS
                  && budget_report (d->budget, i, now, &report);
       i++)
    m->reports[m->report_count++] = report;
}

static void
send_heartbeat (struct daemon *d, const struct cell_action *a)
{
  struct message m = { .type = MESSAGE_HEARTBEAT,
                       .heartbeat = a->heartbeat,
                       .config_version = d->config_object.version,
                       .keys_version = d->keys_object.version };
  add_views (d, &m);
  add_reports (d, &m);
  send_to_member (d, a->member, &m);
  talloc_free (m.views);
  talloc_free (m.reports);
}

/* Requests an object from a peer that has a newer version of it. */
static void
fetch_if_behind (struct daemon *d, uint64_t from, const char *name,
                 uint64_t mine, uint64_t theirs)
{
  struct peers *p = d->peers;
  int64_t now = clock_now ();
  if (theirs <= mine || now - p->fetch_sent_at < FETCH_INTERVAL_US)
    return;
  struct message m = { .type = MESSAGE_FETCH, .version = mine };
  snprintf (m.name, sizeof m.name, "%s", name);
  p->fetch_sent_at = now;
  send_to_member (d, from, &m);
}

/* Passes the views of a peer to the groups that they are about. */
static void
on_views (struct daemon *d, const struct message *m)
{
  for (int i = 0; i < m->view_count; i++)
    {
      struct primary_view view = m->views[i].view;
      view.received_at = clock_now ();
      primary_on_view (d, m->views[i].group, &view);
    }
}

static void
on_heartbeat (struct daemon *d, const struct message *m)
{
  int64_t now = clock_now ();
  cell_on_heartbeat (d->cell, &m->heartbeat, now);
  on_views (d, m);
  for (int i = 0; i < m->report_count; i++)
    budget_on_report (d->budget, &m->reports[i], now);
  fetch_if_behind (d, m->from, CONTROL_CONFIG, d->config_object.version,
                   m->config_version);
  fetch_if_behind (d, m->from, CONTROL_KEYS, d->keys_object.version,
                   m->keys_version);
}

/* ---- membership ---- */

static void
on_cell_object_refreshed (void *data, const struct error *err,
                          const struct platform_object *object)
{
  struct daemon *d = data;
  d->peers->is_refreshing = false;
  if (err->code == ERROR_NONE)
    peers_on_cell_object (d, object);
}

/* Reads the cell object unless a read is in progress. */
static void
refresh_cell_object (struct daemon *d)
{
  if (d->peers->is_refreshing)
    return;
  d->peers->is_refreshing = true;
  platform_get (d->platform, d->peers->object_name, on_cell_object_refreshed,
                d);
}

void
peers_on_cell_object (struct daemon *d, const struct platform_object *object)
{
  struct cell_record record = { 0 };
  if (object->version > 0
      && !cell_object_parse (object->value, object->version, &record))
    {
      log_error (PART, "cell object is malformed version=%" PRIu64,
                 object->version);
      return;
    }
  cell_on_record (d->cell, &record, clock_now ());
  peers_perform_actions (d);
}

static void
on_update_done (void *data, const struct error *err,
                const struct platform_object *object)
{
  struct daemon *d = data;
  int result = err->code == ERROR_NONE       ? UPDATE_DONE
               : err->code == ERROR_CONFLICT ? UPDATE_CONFLICT
                                             : UPDATE_LOST;
  cell_on_update (d->cell, result, result == UPDATE_DONE ? object->version : 0,
                  clock_now ());
  if (result == UPDATE_CONFLICT)
    peers_on_cell_object (d, object);
  else
    peers_perform_actions (d);
}

/* Sends a member the new record; the member answers with its holdings. */
static void
send_freeze (struct daemon *d, const struct cell_action *a)
{
  void *scratch = talloc_new (d);
  struct message m = { .type = MESSAGE_FREEZE,
                       .version = a->record.version,
                       .value = cell_object_render (scratch, &a->record) };
  send_to_member (d, a->member, &m);
  talloc_free (scratch);
}

/* Sends this member's fractions to the coordinator of a change of the member
   list. */
static void
send_holdings (struct daemon *d, uint64_t coordinator)
{
  struct message m = { .type = MESSAGE_HOLDINGS };
  struct budget_holding holding;
  int64_t now = clock_now ();
  m.version = cell_record (d->cell)->version;
  m.age_us = cell_nonmember_echo_age (d->cell, now);
  while (budget_holding (d->budget, m.fraction_count, &holding))
    {
      m.fractions = talloc_realloc (d, m.fractions, struct message_fraction,
                                    m.fraction_count + 1);
      struct message_fraction *s = &m.fractions[m.fraction_count++];
      memcpy (s->organisation, holding.organisation, sizeof s->organisation);
      s->fraction = holding.fraction;
    }
  send_to_member (d, coordinator, &m);
  talloc_free (m.fractions);
}

/* Applies the coordinator's record.  If this process then uses that version
   and is a member, it sends its holdings. */
static void
on_freeze (struct daemon *d, const struct message *m)
{
  struct cell_record record;
  if (!cell_object_parse (m->value, m->version, &record))
    return;
  cell_on_record (d->cell, &record, clock_now ());
  peers_perform_actions (d);
  if (cell_record (d->cell)->version == m->version && cell_is_member (d->cell))
    send_holdings (d, m->from);
}

static void
on_holdings (struct daemon *d, const struct message *m)
{
  for (int i = 0; i < m->fraction_count; i++)
    {
      struct budget_holding holding = { .member = m->from };
      memcpy (holding.organisation, m->fractions[i].organisation,
              sizeof holding.organisation);
      holding.fraction = m->fractions[i].fraction;
      budget_on_holding (d->budget, m->version, &holding);
    }
  cell_on_holdings (d->cell, m->from, m->version, m->age_us, clock_now ());
}

/* Sends a member the fractions that are allotted to it. */
static void
send_allot (struct daemon *d, const struct cell_action *a)
{
  struct message m = { .type = MESSAGE_ALLOT, .version = a->version };
  struct budget_holding allotment;
  while (budget_allotment (d->budget, a->member, m.fraction_count, &allotment))
    {
      m.fractions = talloc_realloc (d, m.fractions, struct message_fraction,
                                    m.fraction_count + 1);
      struct message_fraction *s = &m.fractions[m.fraction_count++];
      memcpy (s->organisation, allotment.organisation, sizeof s->organisation);
      s->fraction = allotment.fraction;
    }
  send_to_member (d, a->member, &m);
  talloc_free (m.fractions);
}

/* Applies the allotted fractions.  Once the version is settled, the budget
   moves fractions again. */
static void
on_allot (struct daemon *d, const struct message *m)
{
  int64_t now = clock_now ();
  for (int i = 0; i < m->fraction_count; i++)
    budget_allot (d->budget, m->version, m->fractions[i].organisation,
                  m->fractions[i].fraction, now);
  if (budget_settle (d->budget, m->version, now))
    {
      cell_on_allot (d->cell, m->version, now);
      log_info (PART, "budget settled version=%" PRIu64, m->version);
      front_retry_waiting (d);
    }
}

/* Writes a new record to the cell object, if its version did not change. */
static void
update_cell_object (struct daemon *d, const struct cell_action *a)
{
  void *scratch = talloc_new (d);
  struct bstr value = cell_object_render (scratch, &a->record);
  log_info (PART, "updating cell object version=%" PRIu64 " members=%d",
            a->record.version, a->record.member_count);
  platform_put (d->platform, d->peers->object_name, a->record.version, value,
                on_update_done, d);
  talloc_free (scratch);
}

/* Makes the budget, the bus and the groups use a new member list. */
static void
adopt_member_list (struct daemon *d, const struct cell_action *a)
{
  const char *addresses[CELL_MAX_MEMBERS];
  for (int i = 0; i < a->record.member_count; i++)
    addresses[i] = a->record.members[i].address;
  log_info (PART, "member list version=%" PRIu64 " members=%d member=%s",
            a->record.version, a->record.member_count,
            cell_is_member (d->cell) ? "yes" : "no");
  budget_freeze (d->budget, &a->record, a->keep, clock_now ());
  bus_keep_only (d->bus, addresses, a->record.member_count);
  group_on_members (d);
}

static void
perform_action (struct daemon *d, const struct cell_action *a)
{
  struct message m
      = { .type = MESSAGE_JOIN, .member = a->self, .version = a->version };
  switch (a->kind)
    {
    case CELL_ADOPT:
      adopt_member_list (d, a);
      break;
    case CELL_SEND_HEARTBEAT:
      send_heartbeat (d, a);
      break;
    case CELL_SEND_JOIN:
      send_to_member (d, a->member, &m);
      break;
    case CELL_UPDATE:
      update_cell_object (d, a);
      break;
    case CELL_READ:
      refresh_cell_object (d);
      break;
    case CELL_FREEZE:
      send_freeze (d, a);
      break;
    case CELL_ALLOT:
      send_allot (d, a);
      break;
    }
}

void
peers_perform_actions (struct daemon *d)
{
  struct cell_action action;
  struct budget_message budget;
  while (
      cell_next_action (d->cell, clock_now (), daemon_random_id (), &action))
    perform_action (d, &action);
  while (budget_next_message (d->budget, clock_now (), &budget))
    {
      struct message m = { .type = MESSAGE_BUDGET, .budget = budget };
      send_to_member (d, budget.to, &m);
    }
}

static void
on_action_timer (void *data)
{
  peers_perform_actions (data);
}

/* ---- change of primary ---- */

static void
send_to_all_members (struct daemon *d, struct message *m)
{
  const struct cell_record *record = cell_record (d->cell);
  for (int i = 0; i < record->member_count; i++)
    if (record->members[i].id != d->id)
      send_to_member (d, record->members[i].id, m);
}

void
peers_send_release (struct daemon *d, const char *service, uint64_t term)
{
  struct message m = { .type = MESSAGE_RELEASE, .version = term };
  snprintf (m.name, sizeof m.name, "%s", service);
  send_to_all_members (d, &m);
}

void
peers_send_view (struct daemon *d, const char *service,
                 struct primary_view view)
{
  struct message_view entry = { .view = view };
  struct message m
      = { .type = MESSAGE_VIEW, .views = &entry, .view_count = 1 };
  snprintf (entry.group, sizeof entry.group, "%s", service);
  send_to_all_members (d, &m);
}

/* Releases this member's authority for older terms and confirms it. */
static void
on_release (struct daemon *d, const struct message *m)
{
  struct message reply = { .type = MESSAGE_RELEASED, .version = m->version };
  memcpy (reply.name, m->name, sizeof reply.name);
  primary_on_release (d, m->name, m->version);
  send_to_member (d, m->from, &reply);
}

/** A read of the cell object for peers_read_cell_object. */
struct cell_object_read
{
  struct daemon *daemon;
  void (*done) (void *data, int64_t sent_at);
  void *data; /**< Argument of done. */
  int64_t sent_at;
};

static void
on_cell_object_read (void *data, const struct error *err,
                     const struct platform_object *object)
{
  struct cell_object_read *r = data;
  bool read = err->code == ERROR_NONE;
  if (read)
    peers_on_cell_object (r->daemon, object);
  r->done (r->data, read ? r->sent_at : 0);
  talloc_free (r);
}

void
peers_read_cell_object (struct daemon *d, void (*done) (void *, int64_t),
                        void *data)
{
  struct cell_object_read *r = talloc (d, struct cell_object_read);
  *r = (struct cell_object_read){ d, done, data, clock_now () };
  platform_get (d->platform, d->peers->object_name, on_cell_object_read, r);
}

/* ---- copies of objects for peers ---- */

/* Sends a peer the object that it requested, if this copy is newer and not too
   large for a message. */
static void
on_fetch (struct daemon *d, const struct message *m)
{
  const struct known_object *known
      = strcmp (m->name, CONTROL_CONFIG) == 0 ? &d->config_object
        : strcmp (m->name, CONTROL_KEYS) == 0 ? &d->keys_object
                                              : NULL;
  if (known == NULL || known->version <= m->version
      || known->value.len > MESSAGE_MAX_BYTES / 2)
    return;
  struct message reply = { .type = MESSAGE_SNAPSHOT,
                           .version = known->version,
                           .value = known->value };
  memcpy (reply.name, m->name, sizeof reply.name);
  send_to_member (d, m->from, &reply);
}

static void
on_message (void *data, struct bstr bytes)
{
  struct daemon *d = data;
  struct error err = { 0 };
  struct message m;
  void *scratch = talloc_new (d);
  if (!message_decode (scratch, bytes, d->peer_key, &m, &err))
    {
      log_warn (PART, "message refused error=\"%s\"", err.text);
      goto done;
    }
  switch (m.type)
    {
    case MESSAGE_HEARTBEAT:
      on_heartbeat (d, &m);
      break;
    case MESSAGE_VIEW:
      on_views (d, &m);
      break;
    case MESSAGE_BUDGET:
      budget_on_message (d->budget, &m.budget, clock_now ());
      if (m.budget.kind == BUDGET_GRANT)
        front_retry_waiting (d);
      break;
    case MESSAGE_JOIN:
      cell_on_join (d->cell, &m.member, m.version, clock_now ());
      break;
    case MESSAGE_FREEZE:
      on_freeze (d, &m);
      break;
    case MESSAGE_HOLDINGS:
      on_holdings (d, &m);
      break;
    case MESSAGE_ALLOT:
      on_allot (d, &m);
      break;
    case MESSAGE_RELEASE:
      on_release (d, &m);
      break;
    case MESSAGE_RELEASED:
      primary_on_released (d, m.name, m.from, m.version);
      break;
    case MESSAGE_FETCH:
      on_fetch (d, &m);
      break;
    case MESSAGE_SNAPSHOT:
      control_on_snapshot (d, m.name, m.version, m.value);
      break;
    }
  peers_perform_actions (d);
done:
  talloc_free (scratch);
}

struct peers *
peers_create (struct daemon *d, struct error *err)
{
  const struct daemon_options *o = d->options;
  struct peers *p = talloc_zero (d, struct peers);
  int64_t now = clock_now ();
  p->daemon = d;
  d->peers = p;
  p->object_name = cell_object_name (p, o->cell);
  d->bus = bus_create (d,
                       &(struct bus_options){ .ev = d->ev,
                                              .address = o->peer_listen,
                                              .max_message = MESSAGE_MAX_BYTES,
                                              .received = on_message,
                                              .data = d },
                       err);
  if (d->bus == NULL)
    return NULL;
  struct cell_options cell = {
    .heartbeat_us = o->heartbeat_ms * USEC_PER_MSEC,
    .member_lease_us = o->hold_ms * USEC_PER_MSEC,
    .dead_after_us = 2 * o->hold_ms * USEC_PER_MSEC,
  };
  cell.self.id = d->id;
  snprintf (cell.self.name, sizeof cell.self.name, "%s", o->name);
  snprintf (cell.self.address, sizeof cell.self.address, "%s",
            bus_address (d->bus));
  d->cell = cell_create (d, &cell, now);
  d->budget = budget_create (
      d, &(struct budget_options){ .self = d->id,
                                   .static_shares = o->baseline_static_shares,
                                   .resend_us = BUDGET_RESEND_US });
  daemon_add_repeating_timer (d, p, ACTION_INTERVAL_US, on_action_timer, d);
  refresh_cell_object (d);
  return p;
}
