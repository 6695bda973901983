#include "tests/failover_world.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

/* Microseconds in a millisecond: all times are in microseconds. */
#define MS INT64_C (1000)
#define MAX_WRITES 4096
#define MAX_UNACKNOWLEDGED 64
#define PLATFORM_NODE (GROUP_MAX_ENDPOINTS + CELL_MAX_MEMBERS)
#define NODE_COUNT (PLATFORM_NODE + 1)
#define DAEMON_NODE(i) (GROUP_MAX_ENDPOINTS + (i))
#define TICK_US (10 * MS)
#define ONE_WAY_US (1 * MS)
/* Time after which a lost command fails at its sender. */
#define COMMAND_TIMEOUT_US (300 * MS)

/* Kinds of messages, by receiver. */
enum message_kind
{
  /* To an endpoint, which answers with the same kind. */
  POLL,
  FENCE,
  PROMOTE,
  FOLLOW,
  WRITE,
  QUERY,
  /* To the platform, which answers with the same kind. */
  UPDATE,
  READ, /* Answered by WATCH. */
  MEMBERS,
  /* To a daemon. */
  WATCH,       /* The group's record, from the platform. */
  VIEW,        /* Another daemon's view of the primary. */
  RELEASE,     /* Request to release the authority for older terms. */
  RELEASED,    /* Its answer. */
  ACKNOWLEDGE, /* To itself: the acknowledgement that a pause delayed. */
  REFUSED      /* An endpoint refused the connection of a poll. */
};

/* A message; nodes are numbered endpoints first, then daemons, then the
   platform. */
struct message
{
  int64_t at;      /* Virtual time of its delivery. */
  int64_t sent_at; /* Time of sending, clock of the daemon that asked. */
  uint64_t number; /* Orders messages of the same time. */
  enum message_kind kind;
  bool is_answer;
  bool ok; /* Answers: the command succeeded; QUERY: the write was read. */
  int from, to; /* Nodes. */
  int endpoint; /* Endpoint that the message is about. */
  int write;    /* Number of the write that is written or read. */
  uint64_t term;
  uint64_t lower, upper; /* WRITE: log positions before and after it. */
  struct endpoint_status status;
  struct group_record record;
  struct primary_view view;
  struct route route;
  struct read_request read;
  enum update_result result;
};

/* A fake of an endpoint. */
struct endpoint
{
  bool is_down, in_recovery;
  bool is_closed; /* Its VM refuses connections while it is down. */
  uint64_t term, fence;
  int follows;                /* Its primary; INDEX_NONE: none. */
  int64_t primary_contact_at; /* Last contact with its primary. */
  int64_t delay;              /* Extra delay of its answers. */
  int64_t lag;                /* Delay of its replication. */
  int length;
  int log[MAX_WRITES]; /* Write numbers; its position is the length. */
};

/* A daemon with its modules. */
struct daemon
{
  struct authority *authority;
  struct failover *failover;
  struct routing *routing;
  uint64_t id, operation_count;
  int64_t
      offset; /* Offset of its clock; the clocks of daemons are unrelated. */
  int64_t resume_at; /* End of its pause. */
  int64_t stall_us;  /* Pause it before its next acknowledgement. */
  int64_t poll_at, view_at, write_at; /* When it does each next. */
  /* Writes that await their acknowledgement. */
  struct message unacknowledged[MAX_UNACKNOWLEDGED];
  int unacknowledged_count;
  bool drop_next_answer[ACKNOWLEDGE + 1]; /* For each message kind. */
};

/* What became of a write. */
struct write
{
  int64_t written_at;
  uint64_t term;
  uint64_t upper; /* Log position just after it. */
  bool acknowledged, discarded;
};

struct failover_world
{
  struct failover_world_options options;
  int64_t now;             /* Virtual time. */
  int64_t tick_at;         /* Time of the newest tick. */
  int64_t acknowledged_at; /* Newest acknowledgement; 0: none yet. */
  struct failover_world_result result;
  struct endpoint endpoints[GROUP_MAX_ENDPOINTS];
  struct daemon daemons[CELL_MAX_MEMBERS];
  struct write writes[MAX_WRITES];
  int write_count;
  int last_write;                   /* The newest acknowledged write. */
  bool cut[NODE_COUNT][NODE_COUNT]; /* Messages between them are lost. */
  /* A filter between the nodes refuses connections. */
  bool refused[NODE_COUNT][NODE_COUNT];
  bool outage; /* The platform is out of service. */
  struct group_record record;
  int promoted_endpoint[64]; /* Index + 1 for each term modulo 64. */
  struct message *queue;     /* Messages on their way, unordered. */
  int queued;                /* Their number. */
  uint64_t sequence;         /* Number of the next message. */
  unsigned short random[3];
};

/* Append a line to the transcript, with the virtual time. */
static void __attribute__ ((format (printf, 2, 3)))
print_line (struct failover_world *w, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  w->result.transcript = talloc_asprintf_append_buffer (
      w->result.transcript, "%6" PRId64 " ", w->now / MS);
  w->result.transcript
      = talloc_vasprintf_append_buffer (w->result.transcript, format, args);
  w->result.transcript
      = talloc_strdup_append_buffer (w->result.transcript, "\n");
  va_end (args);
}

#define VIOLATION(w, ...)                                                     \
  ((w)->result.violations++, print_line (w, "VIOLATION " __VA_ARGS__))

static int64_t
local_time (const struct failover_world *w, const struct daemon *d)
{
  return w->now + d->offset;
}

static bool
is_paused (const struct failover_world *w, const struct daemon *d)
{
  return w->now < d->resume_at;
}

static struct endpoint_status
make_status (const struct failover_world *w, int i)
{
  const struct endpoint *e = &w->endpoints[i];
  return (struct endpoint_status){ .in_recovery = e->in_recovery,
                                   .term = e->term,
                                   .received = (uint64_t)e->length,
                                   .replayed = (uint64_t)e->length,
                                   .fence = e->fence,
                                   .primary_age_us
                                   = w->now - e->primary_contact_at };
}

static void
enqueue (struct failover_world *w, struct message m, int64_t at)
{
  m.at = at;
  m.number = w->sequence++;
  w->queue = talloc_realloc (w, w->queue, struct message, w->queued + 1);
  w->queue[w->queued++] = m;
}

/* Handle the loss of a message: a command without an answer fails at its
   sender after a timeout. */
static void
report_loss (struct failover_world *w, struct message m)
{
  if (m.kind != FENCE && m.kind != PROMOTE && m.kind != UPDATE)
    return;
  if (!m.is_answer)
    {
      m.to = m.from;
      m.is_answer = true;
    }
  m.ok = false;
  m.result = UPDATE_LOST;
  if (m.kind == UPDATE && w->options.lost_update_succeeds)
    {
      m.result = UPDATE_DONE;
      m.record.version++;
      enqueue (w, m, w->now + COMMAND_TIMEOUT_US);
      m.kind = WATCH;
    }
  enqueue (w, m, w->now + COMMAND_TIMEOUT_US);
}

/* Whether the connection of a poll is refused. */
static bool
is_refused (const struct failover_world *w, const struct message *m)
{
  if (m->kind != POLL || m->is_answer || w->cut[m->from][m->to])
    return false;
  const struct endpoint *e = &w->endpoints[m->to];
  return (e->is_down && e->is_closed) || w->refused[m->from][m->to];
}

/* Deliver a message after its delay, unless it is refused or lost. */
static void
send_message (struct failover_world *w, struct message m)
{
  if (is_refused (w, &m))
    {
      m.kind = REFUSED;
      m.endpoint = m.to;
      m.to = m.from;
      enqueue (w, m, w->now + 2 * ONE_WAY_US);
      return;
    }
  int64_t delay = ONE_WAY_US;
  int endpoint = m.is_answer ? m.from : m.to;
  struct daemon *d = m.is_answer ? &w->daemons[m.to - DAEMON_NODE (0)] : NULL;
  bool lost
      = w->cut[m.from][m.to] || w->refused[m.from][m.to]
        || (w->outage && (m.from == PLATFORM_NODE || m.to == PLATFORM_NODE));
  if (w->options.jitter_us > 0)
    delay += (int64_t)(erand48 (w->random) * w->options.jitter_us);
  if (endpoint < GROUP_MAX_ENDPOINTS)
    {
      lost = lost || w->endpoints[endpoint].is_down;
      delay += m.is_answer ? w->endpoints[endpoint].delay : 0;
    }
  if (m.kind == WATCH || m.kind == VIEW)
    d = &w->daemons[m.to - DAEMON_NODE (0)];
  if (d != NULL && d->drop_next_answer[m.kind])
    {
      d->drop_next_answer[m.kind] = false;
      lost = true;
    }
  if (lost)
    report_loss (w, m);
  else
    enqueue (w, m, w->now + delay);
}

static bool
has_write (const struct endpoint *e, int write)
{
  uint64_t at = 0;
  for (int i = e->length; i > 0 && at == 0; i--)
    if (e->log[i - 1] == write)
      at = (uint64_t)i;
  return at != 0;
}

/* Acknowledge a write to its caller. */
static void
acknowledge (struct failover_world *w, struct daemon *d, int write)
{
  w->writes[write].acknowledged = true;
  w->result.acknowledged++;
  if (w->writes[write].written_at > w->writes[w->last_write].written_at)
    w->last_write = write;
  if (w->acknowledged_at != 0
      && w->now - w->acknowledged_at > w->result.longest_ack_gap_us)
    w->result.longest_ack_gap_us = w->now - w->acknowledged_at;
  w->acknowledged_at = w->now;
  if (w->options.confirm > 0 && w->result.term > w->writes[write].term
      && !has_write (&w->endpoints[w->result.primary], write))
    VIOLATION (w, "d%d acknowledged write %d, which term %" PRIu64 " lacks",
               (int)(d - w->daemons), write, w->result.term);
}

/* Acknowledge or discard the writes that await their acknowledgement. */
static void
decide_acknowledgements (struct failover_world *w, struct daemon *d)
{
  int kept = 0;
  for (int i = 0; i < d->unacknowledged_count; i++)
    {
      const struct message *m = &d->unacknowledged[i];
      enum ack_verdict verdict = ACK_WAIT;
      if (!is_paused (w, d))
        verdict = authority_decide (d->authority, m->term, m->lower, m->upper,
                                    local_time (w, d));
      if (verdict == ACK_SEND)
        {
          if (authority_expiry (d->authority, w->result.term)
              <= local_time (w, d))
            VIOLATION (w, "d%d acknowledges under a replaced term",
                       (int)(d - w->daemons));
          if (d->stall_us > 0)
            {
              print_line (w, "d%d is paused before it sends",
                          (int)(d - w->daemons));
              d->resume_at = w->now + d->stall_us;
              d->stall_us = 0;
              enqueue (w,
                       (struct message){ .kind = ACKNOWLEDGE,
                                         .to = DAEMON_NODE (d - w->daemons),
                                         .write = m->write },
                       d->resume_at);
            }
          else
            acknowledge (w, d, m->write);
        }
      else if (verdict == ACK_DISCARDED)
        {
          w->writes[m->write].discarded = true;
          w->result.discarded++;
        }
      else if (verdict == ACK_WAIT)
        d->unacknowledged[kept++] = d->unacknowledged[i];
    }
  d->unacknowledged_count = kept;
}

/* Read from the endpoint that the routing chooses; the read must find
   @p write. */
static void
send_query (struct failover_world *w, struct daemon *d,
            struct read_request read, int write)
{
  struct route route = routing_choose (d->routing, &read, local_time (w, d));
  if (route.kind == ROUTE_WAIT)
    {
      read.waited_us = 50 * MS;
      route = routing_choose (d->routing, &read, local_time (w, d));
    }
  if (route.kind == ROUTE_ENDPOINT)
    send_message (w, (struct message){ .kind = QUERY,
                                       .from = DAEMON_NODE (d - w->daemons),
                                       .to = route.endpoint,
                                       .route = route,
                                       .read = read,
                                       .write = write });
}

/* Carry out an action of the failover module. */
static void
run_action (struct failover_world *w, struct daemon *d,
            const struct failover_action *a)
{
  static const enum message_kind kinds[]
      = { UPDATE, READ, FENCE, RELEASE, PROMOTE, FOLLOW, POLL, MEMBERS };
  int self = (int)(d - w->daemons);
  struct message m = { .kind = kinds[a->kind],
                       .from = DAEMON_NODE (self),
                       .to = a->endpoint,
                       .endpoint = a->endpoint,
                       .term = a->term,
                       .record = a->record,
                       .sent_at = local_time (w, d) };
  if (a->kind == FAILOVER_UPDATE)
    print_line (
        w, "d%d updates to term=%" PRIu64 " phase=%d candidate=%d primary=%d",
        self, a->record.term, a->record.phase, a->record.candidate,
        a->record.primary);
  else if (a->kind == FAILOVER_PROMOTE || a->kind == FAILOVER_FOLLOW)
    print_line (w, "d%d %s e%d term=%" PRIu64, self,
                a->kind == FAILOVER_PROMOTE ? "promotes" : "lets follow",
                a->endpoint, a->term);
  if (a->kind == FAILOVER_RELEASE)
    for (int i = 0; i < w->options.members; i++)
      {
        m.to = DAEMON_NODE (i);
        if (w->options.no_lease_wait)
          failover_on_released (d->failover, w->daemons[i].id, a->term,
                                local_time (w, d));
        else if (i == self)
          enqueue (w, m, w->now);
        else
          send_message (w, m);
      }
  else
    {
      if (m.kind == UPDATE || m.kind == READ || m.kind == MEMBERS)
        m.to = PLATFORM_NODE;
      send_message (w, m);
    }
}

/* One tick of a daemon: poll, send views, carry out actions, acknowledge,
   write and read. */
static void
run_daemon (struct failover_world *w, struct daemon *d)
{
  int64_t now = local_time (w, d);
  struct failover_action action;
  struct message m = { .from = DAEMON_NODE (d - w->daemons), .sent_at = now };
  if (w->now >= d->poll_at)
    {
      m.kind = POLL;
      for (m.to = 0; m.to < w->options.endpoints; m.to++)
        send_message (w, m);
      d->poll_at = w->now + 250 * MS;
    }
  bool due = failover_view_due (d->failover, now);
  if (due || w->now >= d->view_at)
    {
      m.kind = VIEW;
      m.view = failover_view (d->failover, now);
      for (int i = 0; i < w->options.members; i++)
        {
          m.to = DAEMON_NODE (i);
          if (m.to != m.from)
            send_message (w, m);
        }
      d->view_at = w->now + 500 * MS;
    }
  for (int i = 0; i < 32; i++)
    {
      if (!failover_next (d->failover, now,
                          (d->id << 32) | ++d->operation_count, &action))
        break;
      run_action (w, d, &action);
    }
  decide_acknowledgements (w, d);
  int primary = authority_primary (d->authority);
  if (is_paused (w, d) || w->now < d->write_at || primary == INDEX_NONE)
    return;
  d->write_at
      = w->now
        + (w->options.write_interval_ms > 0 ? w->options.write_interval_ms
                                            : 40)
              * MS;
  if (authority_expiry (d->authority, authority_term (d->authority)) > now
      && d->unacknowledged_count < MAX_UNACKNOWLEDGED / 2)
    send_message (
        w, (struct message){ .kind = WRITE, .from = m.from, .to = primary });
  if (w->result.acknowledged > 0)
    {
      const struct write *last = &w->writes[w->last_write];
      send_query (
          w, d, (struct read_request){ .after = { last->term, last->upper } },
          w->last_write);
    }
}

static void
endpoint_receives (struct failover_world *w, struct message m)
{
  struct endpoint *e = &w->endpoints[m.to];
  int endpoint = m.to;
  if (e->is_down)
    {
      report_loss (w, m);
      return;
    }
  m.to = m.from;
  m.from = endpoint;
  m.is_answer = true;
  m.ok = m.term >= e->fence;
  if (m.kind == FENCE && m.ok)
    {
      if (e->fence != m.term)
        print_line (w, "e%d is fenced for %" PRIu64 " at %d", endpoint, m.term,
                    e->length);
      e->fence = m.term;
      e->follows = INDEX_NONE;
    }
  else if (m.kind == PROMOTE)
    {
      m.ok = m.term == e->fence && e->in_recovery;
      if (m.ok)
        {
          if (w->promoted_endpoint[m.term % 64] != 0)
            VIOLATION (w, "e%d is the second primary of term %" PRIu64,
                       endpoint, m.term);
          w->promoted_endpoint[m.term % 64] = endpoint + 1;
          e->in_recovery = false;
          e->term = m.term;
          print_line (w, "e%d is promoted to %" PRIu64 " at %d", endpoint,
                      m.term, e->length);
        }
    }
  else if (m.kind == FOLLOW && m.ok && e->in_recovery)
    {
      e->follows = m.record.primary;
      e->fence = m.term;
    }
  else if (m.kind == WRITE)
    {
      if (e->in_recovery || w->write_count == MAX_WRITES)
        return;
      m.write = w->write_count++;
      m.lower = (uint64_t)e->length;
      e->log[e->length++] = m.write;
      m.upper = (uint64_t)e->length;
      m.term = e->term;
      w->writes[m.write]
          = (struct write){ w->now, m.term, m.upper, false, false };
    }
  m.ok = m.kind == QUERY ? has_write (e, m.write) : m.ok;
  m.status = make_status (w, endpoint);
  send_message (w, m);
}

static void
platform_receives (struct failover_world *w, struct message m)
{
  struct message watch = { .kind = WATCH, .from = PLATFORM_NODE };
  if (m.kind == UPDATE)
    {
      m.result = m.record.version == w->record.version ? UPDATE_DONE
                                                       : UPDATE_CONFLICT;
      if (m.result == UPDATE_DONE)
        {
          m.record.version++;
          w->record = m.record;
          if (m.record.phase == FAILOVER_STABLE)
            {
              w->result.term = m.record.term;
              w->result.primary = m.record.primary;
              print_line (w, "term %" PRIu64 " is open at e%d", m.record.term,
                          m.record.primary);
            }
          watch.record = w->record;
          for (int i = 0; i < w->options.members; i++)
            {
              watch.to = DAEMON_NODE (i);
              send_message (w, watch);
            }
        }
      else
        print_line (w, "d%d gets a conflict", m.from - DAEMON_NODE (0));
    }
  if (m.kind == READ || (m.kind == UPDATE && m.result == UPDATE_CONFLICT))
    {
      watch.to = m.from;
      watch.record = w->record;
      send_message (w, watch);
    }
  m.to = m.from;
  m.from = PLATFORM_NODE;
  m.is_answer = true;
  if (m.kind != READ)
    send_message (w, m);
}

static void
daemon_receives (struct failover_world *w, struct daemon *d, struct message *m)
{
  int64_t now = local_time (w, d);
  struct endpoint_status shown = m->status;
  uint64_t ids[CELL_MAX_MEMBERS];
  if (w->options.no_fence_marker)
    shown.fence = 0;
  switch (m->kind)
    {
    case POLL:
      authority_record_status (d->authority, m->from, &shown, m->sent_at);
      failover_on_status (d->failover, m->from, &m->status, now);
      routing_record_status (d->routing, m->from, &m->status, now);
      break;
    case FENCE:
      failover_on_fenced (d->failover, m->endpoint, m->ok, &m->status, now);
      break;
    case PROMOTE:
      failover_on_promoted (d->failover, m->endpoint, m->ok, now);
      break;
    case WRITE:
      if (d->unacknowledged_count < MAX_UNACKNOWLEDGED)
        d->unacknowledged[d->unacknowledged_count++] = *m;
      break;
    case QUERY:
      if (routing_guard_holds (d->routing, &m->route, &m->status))
        {
          if (!m->ok && w->options.confirm > 0)
            VIOLATION (w, "d%d read e%d without write %d",
                       (int)(d - w->daemons), m->from, m->write);
        }
      else if (m->read.tried == 0)
        {
          m->read.tried |= 1U << m->from;
          send_query (w, d, m->read, m->write);
        }
      break;
    case UPDATE:
      failover_on_update (d->failover, m->result, m->record.version, now);
      break;
    case MEMBERS:
      for (int i = 0; i < w->options.members; i++)
        ids[i] = w->daemons[i].id;
      failover_set_members (d->failover, ids, w->options.members, now);
      failover_on_members_read (d->failover, m->sent_at, now);
      break;
    case WATCH:
      failover_on_record (d->failover, &m->record, now);
      authority_record_term (d->authority, m->record.term);
      if (m->record.version != 0 && m->record.phase == FAILOVER_STABLE)
        {
          authority_record_opening (d->authority, m->record.term,
                                    m->record.primary, m->record.branch_start);
          routing_set_primary (d->routing, m->record.primary, m->record.term,
                               m->record.branch_start);
        }
      break;
    case VIEW:
      authority_record_term (d->authority, m->view.term);
      failover_on_view (d->failover, &m->view, now);
      break;
    case RELEASE:
      authority_release (d->authority, m->term - 1);
      m->kind = RELEASED;
      m->to = m->from;
      m->from = DAEMON_NODE (d - w->daemons);
      if (m->to == m->from)
        enqueue (w, *m, w->now);
      else
        send_message (w, *m);
      break;
    case RELEASED:
      failover_on_released (
          d->failover, w->daemons[m->from - DAEMON_NODE (0)].id, m->term, now);
      break;
    case REFUSED:
      failover_on_refused (d->failover, m->endpoint, now);
      break;
    case ACKNOWLEDGE:
      print_line (w, "d%d sends late", (int)(d - w->daemons));
      acknowledge (w, d, m->write);
      break;
    default:
      break;
    }
}

/* Copy the log of their primary to the replicas. */
static void
replicate (struct failover_world *w)
{
  for (int i = 0; i < w->options.endpoints; i++)
    {
      struct endpoint *e = &w->endpoints[i];
      if (e->is_down || !e->in_recovery || e->follows == INDEX_NONE
          || w->cut[i][e->follows])
        continue;
      const struct endpoint *p = &w->endpoints[e->follows];
      if (p->is_down || p->in_recovery || p->term < e->term
          || e->length > p->length
          || (e->length > 0 && p->log[e->length - 1] != e->log[e->length - 1]))
        continue;
      e->primary_contact_at = w->now;
      e->term = p->term;
      while (e->length < p->length
             && w->writes[p->log[e->length]].written_at + e->lag <= w->now)
        {
          e->log[e->length] = p->log[e->length];
          e->length++;
        }
    }
}

/* At any instant, daemons have authority for at most one term. */
static void
check_authority (struct failover_world *w)
{
  uint64_t held = 0;
  for (int i = 0; i < w->options.members; i++)
    {
      struct daemon *d = &w->daemons[i];
      uint64_t term = authority_term (d->authority);
      if (authority_expiry (d->authority, term) <= local_time (w, d))
        continue;
      if (held != 0 && held != term)
        VIOLATION (w, "two terms hold authority");
      held = term;
    }
}

static void
tick (struct failover_world *w)
{
  replicate (w);
  for (int i = 0; i < w->options.members; i++)
    if (!is_paused (w, &w->daemons[i]))
      run_daemon (w, &w->daemons[i]);
  check_authority (w);
}

static void
deliver (struct failover_world *w, struct message m)
{
  if (m.to < GROUP_MAX_ENDPOINTS)
    endpoint_receives (w, m);
  else if (m.to == PLATFORM_NODE)
    platform_receives (w, m);
  else if (is_paused (w, &w->daemons[m.to - DAEMON_NODE (0)]))
    enqueue (w, m, w->daemons[m.to - DAEMON_NODE (0)].resume_at);
  else
    daemon_receives (w, &w->daemons[m.to - DAEMON_NODE (0)], &m);
}

void
failover_world_run_until (struct failover_world *w, int64_t until)
{
  while (w->now < until || w->tick_at + TICK_US <= until)
    {
      int64_t next = w->tick_at + TICK_US;
      int64_t limit = next < until ? next : until;
      int first = -1;
      for (int i = 0; i < w->queued; i++)
        if (w->queue[i].at <= limit
            && (first < 0 || w->queue[i].at < w->queue[first].at
                || (w->queue[i].at == w->queue[first].at
                    && w->queue[i].number < w->queue[first].number)))
          first = i;
      if (first >= 0)
        {
          struct message m = w->queue[first];
          w->queue[first] = w->queue[--w->queued];
          w->now = m.at > w->now ? m.at : w->now;
          deliver (w, m);
          continue;
        }
      w->now = limit;
      if (limit == next)
        {
          w->tick_at = next;
          tick (w);
        }
    }
}

/* Parse "eN" (endpoint), "dN" (daemon) or "p" (platform). */
static int
parse_node (const char *text)
{
  if (text[0] == 'p')
    return PLATFORM_NODE;
  return text[0] == 'e' ? atoi (text + 1) : DAEMON_NODE (atoi (text + 1));
}

/* Replace the data of a stale endpoint by a copy of the primary's, as an
   operator does. */
static void
rebuild_endpoint (struct failover_world *w, struct endpoint *e)
{
  const struct endpoint *p = &w->endpoints[w->result.primary];
  bool stale = (!e->in_recovery && e->term < w->result.term)
               || (e->length > 0 && e->in_recovery
                   && (e->length > p->length
                       || p->log[e->length - 1] != e->log[e->length - 1]));
  if (e == p || !stale || p->is_down || p->in_recovery
      || p->term != w->result.term)
    return;
  int64_t delay = e->delay, lag = e->lag;
  *e = *p;
  e->delay = delay;
  e->lag = lag;
  e->in_recovery = true;
  e->follows = w->result.primary;
  print_line (w, "e%d is rebuilt", (int)(e - w->endpoints));
}

bool
failover_world_command (struct failover_world *w, const char *command)
{
  char verb[16] = "", a[16] = "", b[16] = "";
  static const struct
  {
    const char *name;
    enum message_kind kind;
  } answers[] = { { "update", UPDATE },
                  { "promote", PROMOTE },
                  { "fence", FENCE },
                  { "watch", WATCH } };
  if (sscanf (command, "%15s %15s %15s", verb, a, b) < 1)
    return false;
  print_line (w, "-- %s", command);
  int node = parse_node (a), other = parse_node (b);
  struct endpoint *e = &w->endpoints[node < GROUP_MAX_ENDPOINTS ? node : 0];
  struct daemon *d
      = &w->daemons[node >= DAEMON_NODE (0) && node < PLATFORM_NODE
                        ? node - DAEMON_NODE (0)
                        : 0];
  if (strcmp (verb, "fail") == 0 || strcmp (verb, "return") == 0)
    {
      e->is_down = verb[0] == 'f';
      e->is_closed = false;
    }
  else if (strcmp (verb, "crash") == 0)
    e->is_down = e->is_closed = true;
  else if (strcmp (verb, "refuse") == 0 || strcmp (verb, "accept") == 0)
    w->refused[node][other] = verb[0] == 'r';
  else if (strcmp (verb, "cut") == 0 || strcmp (verb, "join") == 0)
    w->cut[node][other] = w->cut[other][node] = verb[0] == 'c';
  else if (strcmp (verb, "leaving") == 0 || strcmp (verb, "staying") == 0)
    for (int i = 0; i < w->options.members; i++)
      failover_set_leaving (w->daemons[i].failover, node, verb[0] == 'l',
                            local_time (w, &w->daemons[i]));
  else if (strcmp (verb, "outage") == 0)
    w->outage = strcmp (a, "on") == 0;
  else if (strcmp (verb, "slow") == 0)
    e->delay = atoi (b) * MS;
  else if (strcmp (verb, "lag") == 0)
    e->lag = atoi (b) * MS;
  else if (strcmp (verb, "pause") == 0)
    d->resume_at = w->now + atoi (b) * MS;
  else if (strcmp (verb, "stall") == 0)
    d->stall_us = atoi (b) * MS;
  else if (strcmp (verb, "rebuild") == 0)
    rebuild_endpoint (w, e);
  else if (strcmp (verb, "lose") == 0)
    {
      for (size_t i = 0; i < sizeof answers / sizeof answers[0]; i++)
        if (strcmp (b, answers[i].name) == 0)
          d->drop_next_answer[answers[i].kind] = true;
    }
  else
    return false;
  return true;
}

struct failover_world *
failover_world_create (void *parent,
                       const struct failover_world_options *options)
{
  struct failover_world *w = talloc_zero (parent, struct failover_world);
  uint64_t ids[CELL_MAX_MEMBERS];
  w->options = *options;
  w->result.primary = INDEX_NONE;
  w->result.transcript = talloc_strdup (w, "");
  w->random[0] = (unsigned short)options->seed;
  w->random[1] = (unsigned short)(options->seed >> 16);
  w->random[2] = 0x330e;
  w->record.primary = w->record.candidate = INDEX_NONE;
  for (int i = 0; i < options->endpoints; i++)
    {
      w->endpoints[i].term = 1;
      w->endpoints[i].in_recovery = i != 0;
      w->endpoints[i].follows = i != 0 ? 0 : INDEX_NONE;
    }
  for (int i = 0; i < options->members; i++)
    ids[i] = (uint64_t)i + 1;
  for (int i = 0; i < options->members; i++)
    {
      struct daemon *d = &w->daemons[i];
      d->id = ids[i];
      d->offset = (i + 1) * INT64_C (7777777777);
      d->poll_at = i * 70 * MS;
      d->view_at = i * 130 * MS;
      d->authority = authority_create (
          w, &(struct authority_options){
                 options->endpoints, 1000 * MS,
                 options->no_confirmation ? 0 : options->confirm });
      d->failover = failover_create (
          w,
          &(struct failover_options){ .endpoint_count = options->endpoints,
                                      .confirm_replicas = options->confirm,
                                      .self = d->id,
                                      .lease_us = 1000 * MS,
                                      .suspect_us = 1000 * MS,
                                      .unreachable_us = 3000 * MS,
                                      .driver_timeout_us = 1500 * MS,
                                      .refused_us = 300 * MS },
          local_time (w, d));
      d->routing = routing_create (
          w, &(struct routing_options){ .endpoint_count = options->endpoints,
                                        .catch_up_us = 50 * MS,
                                        .stale_poll_us = 1500 * MS });
      failover_set_members (d->failover, ids, options->members,
                            local_time (w, d));
    }
  return w;
}

void
failover_world_check_writes (struct failover_world *w)
{
  bool *survives = talloc_zero_array (w, bool, MAX_WRITES);
  const struct endpoint *p = &w->endpoints[w->result.primary];
  for (int i = 0; i < p->length; i++)
    survives[p->log[i]] = true;
  for (int i = 0; i < w->write_count; i++)
    {
      bool lost = w->writes[i].acknowledged && !survives[i];
      w->result.missing += lost;
      if (lost && w->options.confirm > 0)
        VIOLATION (w, "acknowledged write %d is lost", i);
      if (w->writes[i].discarded && survives[i])
        VIOLATION (w, "discarded write %d survives", i);
    }
  if (w->now - w->acknowledged_at > w->result.longest_ack_gap_us)
    w->result.longest_ack_gap_us = w->now - w->acknowledged_at;
  talloc_free (survives);
}

int64_t
failover_world_now (const struct failover_world *w)
{
  return w->now;
}

const struct failover_world_result *
failover_world_result (const struct failover_world *w)
{
  return &w->result;
}
