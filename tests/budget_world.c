#include "tests/budget_world.h"

#include <inttypes.h>
#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#define NODES_MAX 12
#define ORGS_MAX 2
#define STREAMS_MAX (NODES_MAX * ORGS_MAX)
#define TICK_US 50000
#define SECOND 1000000LL
#define HOLD_US 2000000
#define SHORT_HOLD_US 700000

enum kind
{
  MSG_HEARTBEAT,
  MSG_JOIN,
  MSG_RECORD,
  MSG_HOLDINGS,
  MSG_ALLOT,
  MSG_BUDGET,
  MSG_UPDATE,
  MSG_RESULT,
  MSG_READ,
  TIMER_TICK,
  TIMER_ASK
};

struct event
{
  int64_t at;
  uint64_t seq;
  enum kind kind;
  int from, to;
  uint64_t process; /* Of timers: the process that set it. */
  uint64_t version;
  bool freeze; /* MSG_RECORD: answer with holdings. */
  int result;
  int64_t age;
  int count;
  union
  {
    struct
    {
      struct cell_heartbeat heartbeat;
      struct budget_report reports[ORGS_MAX];
    };
    struct budget_holding holdings[ORGS_MAX];
    struct cell_member member;
    struct cell_record record;
    struct budget_message budget;
  };
};

struct pending
{
  int org;
  int64_t since, ask_at;
  bool within;
};

struct node
{
  char name[8];
  enum
  {
    NODE_ABSENT,
    NODE_RUNNING,
    NODE_PAUSED
  } state;
  int starts;
  uint64_t id;
  int64_t offset;
  double drift;
  struct cell *cell;
  struct budget *budget;
  bool no_platform, leaving;
  int side;         /* Nodes of different sides cannot reach each other. */
  int64_t lease_at; /* When the lease was last valid. */
  struct pending *pending;
  int pending_count;
};

struct org
{
  char name[64];
  double rate[NODES_MAX], burst[NODES_MAX]; /* Known at each node. */
  double ideal_level, level, worst_level;
  int64_t ideal_at, level_at;
};

struct stream
{
  int org, node;
  double rate, next_at;
};

struct world
{
  unsigned short random[3];
  enum world_fault fault;
  int64_t now;
  uint64_t seq, op;
  struct event **heap;
  int heap_count;
  struct event **backlog;
  int backlog_count;
  struct node nodes[NODES_MAX];
  struct org orgs[ORGS_MAX];
  int org_count;
  struct stream streams[STREAMS_MAX];
  int stream_count;
  /* Flags are numbers too, so that one table of settings serves all. */
  double platform_down, poisson, static_shares, silent_wait;
  double drift; /* Largest difference of a clock rate from 1. */
  double lose, lose_kind[TIMER_ASK + 1], repeat, lose_answer;
  double jitter_us;
  double dead_after;
  struct cell_record record;
  struct world_result result;
  char *transcript;
};

double
world_random (struct world *w)
{
  return erand48 (w->random);
}

static void __attribute__ ((format (printf, 2, 3)))
say (struct world *w, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  w->transcript = talloc_asprintf_append_buffer (w->transcript, "%9.3f ",
                                                 (double)w->now / SECOND);
  w->transcript = talloc_vasprintf_append_buffer (w->transcript, format, args);
  w->transcript = talloc_strdup_append_buffer (w->transcript, "\n");
  va_end (args);
}

static bool
is_before (const struct event *a, const struct event *b)
{
  return a->at != b->at ? a->at < b->at : a->seq < b->seq;
}

static struct event *
event_new (struct world *w, enum kind kind, int from, int to)
{
  size_t size = sizeof (struct event);
  /* Most events are small; a record takes kilobytes. */
  if (kind >= TIMER_TICK)
    size = offsetof (struct event, heartbeat);
  else if (kind == MSG_BUDGET)
    size = offsetof (struct event, budget) + sizeof (struct budget_message);
  struct event *e = talloc_zero_size (w, size);
  e->kind = kind;
  e->from = from;
  e->to = to;
  return e;
}

static void
schedule (struct world *w, struct event *e, int64_t at)
{
  int i = w->heap_count++;
  if ((i & (i + 1)) == 0)
    w->heap = talloc_realloc (w, w->heap, struct event *, 2 * (size_t)i + 2);
  e->at = at;
  e->seq = ++w->seq;
  for (; i > 0 && is_before (e, w->heap[(i - 1) / 2]); i = (i - 1) / 2)
    w->heap[i] = w->heap[(i - 1) / 2];
  w->heap[i] = e;
}

static struct event *
take_first (struct world *w)
{
  struct event *first = w->heap[0], *last = w->heap[--w->heap_count];
  int i = 0, child;
  while ((child = 2 * i + 1) < w->heap_count)
    {
      if (child + 1 < w->heap_count
          && is_before (w->heap[child + 1], w->heap[child]))
        child++;
      if (!is_before (w->heap[child], last))
        break;
      w->heap[i] = w->heap[child];
      i = child;
    }
  w->heap[i] = last;
  return first;
}

static int64_t
delay (struct world *w)
{
  return 1500 + (int64_t)(w->jitter_us * world_random (w));
}

/* Send between nodes; to or from the platform, the other side is -1. */
static void
post (struct world *w, struct event *e)
{
  bool lost = world_random (w) < w->lose + w->lose_kind[e->kind];
  if (e->from >= 0 && e->to >= 0
      && w->nodes[e->from].side != w->nodes[e->to].side)
    lost = true;
  if (e->kind != MSG_RECORD && (e->from < 0 || e->to < 0))
    lost = false;
  if (e->kind == MSG_BUDGET)
    {
      w->result.messages++;
      w->result.bytes += 64 + (long)strlen (e->budget.organisation);
    }
  if (lost)
    {
      talloc_free (e);
      return;
    }
  if (e->kind < MSG_UPDATE && world_random (w) < w->repeat)
    {
      struct event *copy = talloc_memdup (w, e, talloc_get_size (e));
      if (w->fault == FAULT_NO_GRANT_IDS && e->kind == MSG_BUDGET
          && e->budget.id != 0)
        copy->budget.id += 1;
      schedule (w, copy,
                w->now + delay (w) + (int64_t)(world_random (w) * 2e5));
    }
  schedule (w, e, w->now + delay (w));
}

static int64_t
clock_of (const struct world *w, const struct node *n)
{
  return n->offset + (int64_t)((double)w->now * (1 + n->drift));
}

static int
node_find (const struct world *w, const char *name)
{
  for (int i = 0; i < NODES_MAX; i++)
    if (strcmp (w->nodes[i].name, name) == 0)
      return i;
  return -1;
}

static bool
may_spend (const struct world *w, struct node *n)
{
  int64_t now;
  if (n->state == NODE_ABSENT)
    return false;
  now = clock_of (w, n);
  if (cell_lease_valid (n->cell, now))
    n->lease_at = now;
  if (w->fault == FAULT_NO_LEASE)
    return true;
  /* The members know a hold of SHORT_HOLD_US; spend for HOLD_US. */
  if (w->fault == FAULT_NO_WAIT)
    return cell_is_member (n->cell) && n->lease_at != 0
           && now < n->lease_at + HOLD_US - SHORT_HOLD_US;
  return cell_lease_valid (n->cell, now);
}

/* The central bucket of an organisation, at the highest values that any node
   uses. */
static double
central_refill (const struct world *w, const struct org *o, double level,
                int64_t from)
{
  double rate = 0, burst = 0;
  for (int i = 0; i < NODES_MAX; i++)
    {
      rate = fmax (rate, o->rate[i]);
      burst = fmax (burst, o->burst[i]);
    }
  return fmin (burst,
               level + rate * (1 + w->drift) * (double)(w->now - from) / 1e6);
}

static void
check_sums (struct world *w)
{
  double sum[ORGS_MAX] = { 0 };
  for (int i = 0; i < NODES_MAX; i++)
    {
      struct node *n = &w->nodes[i];
      struct budget_holding h;
      if (!may_spend (w, n))
        continue;
      for (int k = 0; budget_holding (n->budget, k, &h); k++)
        for (int o = 0; o < w->org_count; o++)
          if (strcmp (w->orgs[o].name, h.organisation) == 0)
            sum[o] += h.fraction;
    }
  for (int o = 0; o < w->org_count; o++)
    w->result.worst_sum = fmax (w->result.worst_sum, sum[o]);
}

static void
drop_pending (struct node *n, int at)
{
  n->pending_count--;
  memmove (&n->pending[at], &n->pending[at + 1],
           (size_t)(n->pending_count - at) * sizeof *n->pending);
}

/* Ask the budget about one request.
 * @return whether it is decided. */
static bool
decide (struct world *w, int at, struct pending *p)
{
  struct node *n = &w->nodes[at];
  struct org *o = &w->orgs[p->org];
  int64_t now = clock_of (w, n);
  struct budget_decision d = budget_admit (
      n->budget, o->name, may_spend (w, n), now - p->since, now);
  if (d.verdict == BUDGET_WAIT)
    {
      if (p->ask_at <= w->now)
        {
          struct event *e = event_new (w, TIMER_ASK, at, at);
          e->process = n->id;
          p->ask_at = w->now + (d.wait_us > 0 ? d.wait_us : 1);
          schedule (w, e, p->ask_at);
        }
      return false;
    }
  if (d.verdict == BUDGET_REFUSE)
    {
      w->result.refused++;
      w->result.wrongful += p->within;
      return true;
    }
  w->result.admitted++;
  o->level = central_refill (w, o, o->level, o->level_at) - 1;
  o->level_at = w->now;
  o->worst_level = fmin (o->worst_level, o->level);
  w->result.worst_level = fmin (w->result.worst_level, o->level);
  return true;
}

/* Ask about waiting requests: all after a grant, else those whose time has
   come. */
static void
ask_again (struct world *w, int at, bool all)
{
  struct node *n = &w->nodes[at];
  for (int i = 0; i < n->pending_count;)
    {
      struct pending *p = &n->pending[i];
      /* A wait of 0 marks the first call for a request. */
      bool now = clock_of (w, n) > p->since && (all || p->ask_at <= w->now);
      if (now && decide (w, at, p))
        drop_pending (n, i);
      else
        i++;
    }
}

static void
send_holdings (struct world *w, int from, int to)
{
  struct node *n = &w->nodes[from];
  struct event *e = event_new (w, MSG_HOLDINGS, from, to);
  e->version = cell_record (n->cell)->version;
  e->age = cell_nonmember_echo_age (n->cell, clock_of (w, n));
  while (budget_holding (n->budget, e->count, &e->holdings[e->count]))
    e->count++;
  post (w, e);
}

static const char *
names_of (struct world *w, const struct cell_record *r)
{
  char *text = talloc_strdup (w->transcript, "");
  for (int i = 0; i < r->member_count; i++)
    text = talloc_asprintf_append (text, "%s%s", i > 0 ? "," : "",
                                   r->members[i].name);
  return text;
}

static void
apply_allotment (struct world *w, int at, const struct budget_holding *list,
                 int count, uint64_t version)
{
  struct node *n = &w->nodes[at];
  int64_t now = clock_of (w, n);
  if (w->fault == FAULT_NO_FREEZE && cell_record (n->cell)->version == version)
    budget_freeze (n->budget, cell_record (n->cell), true, now);
  for (int i = 0; i < count; i++)
    budget_allot (n->budget, version, list[i].organisation, list[i].fraction,
                  now);
  if (budget_settle (n->budget, version, now))
    cell_on_allot (n->cell, version, now);
}

static void
perform (struct world *w, int at, const struct cell_action *a)
{
  struct node *n = &w->nodes[at];
  int64_t now = clock_of (w, n);
  const struct cell_member *m = cell_find (n->cell, a->member);
  int to = m != NULL ? node_find (w, m->address) : -1;
  struct event *e = NULL;
  switch (a->kind)
    {
    case CELL_ADOPT:
      if (w->fault != FAULT_NO_FREEZE || !a->keep)
        budget_freeze (n->budget, &a->record, a->keep, now);
      say (w, "%s adopts v%" PRIu64 " of %s%s", n->name, a->version,
           names_of (w, &a->record), a->keep ? "" : ", holds nothing");
      break;
    case CELL_SEND_HEARTBEAT:
      e = event_new (w, MSG_HEARTBEAT, at, to);
      e->heartbeat = a->heartbeat;
      while (budget_report (n->budget, e->count, now, &e->reports[e->count]))
        e->count++;
      break;
    case CELL_SEND_JOIN:
      e = event_new (w, MSG_JOIN, at, to);
      e->member = a->self;
      e->version = a->version;
      break;
    case CELL_FREEZE:
      e = event_new (w, MSG_RECORD, at, to);
      e->record = a->record;
      e->freeze = true;
      break;
    case CELL_ALLOT:
      if (a->member == n->id)
        to = at;
      e = event_new (w, MSG_ALLOT, at, to);
      e->version = a->version;
      while (budget_allotment (n->budget, a->member, e->count,
                               &e->holdings[e->count]))
        e->count++;
      if (to == at)
        {
          say (w, "%s allots v%" PRIu64, n->name, a->version);
          apply_allotment (w, at, e->holdings, e->count, a->version);
          TALLOC_FREE (e);
        }
      break;
    case CELL_UPDATE:
      say (w, "%s proposes %s instead of v%" PRIu64, n->name,
           names_of (w, &a->record), a->version);
      e = event_new (w, MSG_UPDATE, at, -1);
      e->record = a->record;
      break;
    case CELL_READ:
      e = event_new (w, MSG_READ, at, -1);
      break;
    }
  if (e != NULL && (to >= 0 || a->kind == CELL_UPDATE || a->kind == CELL_READ))
    post (w, e);
  else
    talloc_free (e);
}

static void
drain (struct world *w, int at)
{
  struct node *n = &w->nodes[at];
  struct cell_action action;
  struct budget_message m;
  int64_t now = clock_of (w, n);
  while (cell_next_action (n->cell, now, ++w->op, &action))
    perform (w, at, &action);
  while (budget_next_message (n->budget, now, &m))
    {
      const struct cell_member *to = cell_find (n->cell, m.to);
      struct event *e = event_new (
          w, MSG_BUDGET, at, to != NULL ? node_find (w, to->address) : -1);
      e->budget = m;
      if (e->to < 0)
        {
          talloc_free (e);
          continue;
        }
      post (w, e);
      if (w->fault == FAULT_NO_DEDUCTION && m.kind == BUDGET_GRANT
          && m.id != 0)
        {
          /* The giver gets back what it deducted. */
          m.from = m.to;
          m.id += 1U << 30;
          budget_on_message (n->budget, &m, now);
        }
    }
}

static void
announce (struct world *w, int to)
{
  struct event *e = event_new (w, MSG_RECORD, -1, to);
  e->record = w->record;
  post (w, e);
}

static void
platform_handle (struct world *w, const struct event *e)
{
  bool down = w->platform_down > 0 || w->nodes[e->from].no_platform;
  struct event *reply = event_new (w, MSG_RESULT, -1, e->from);
  reply->process = w->nodes[e->from].id;
  if (e->kind == MSG_READ)
    {
      if (!down)
        announce (w, e->from);
      talloc_free (reply);
      return;
    }
  reply->result = 2;
  if (!down)
    {
      reply->result = e->record.version == w->record.version ? 0 : 1;
      if (reply->result == 0)
        {
          w->record = e->record;
          w->record.version++;
          for (int i = 0; i < NODES_MAX; i++)
            if (!w->nodes[i].no_platform)
              announce (w, i);
        }
      reply->version = w->record.version;
      if (world_random (w) < w->lose_answer)
        reply->result = 2;
    }
  say (w, "platform answers %s: %s", w->nodes[e->from].name,
       reply->result == 0   ? "done"
       : reply->result == 1 ? "conflict"
                            : "lost");
  schedule (w, reply, w->now + (reply->result == 2 ? SECOND : 2000));
}

static void
node_handle (struct world *w, const struct event *e)
{
  struct node *n = &w->nodes[e->to];
  int64_t now = clock_of (w, n);
  switch (e->kind)
    {
    case MSG_HEARTBEAT:
      cell_on_heartbeat (n->cell, &e->heartbeat, now);
      for (int i = 0; i < e->count; i++)
        budget_on_report (n->budget, &e->reports[i], now);
      break;
    case MSG_JOIN:
      cell_on_join (n->cell, &e->member, e->version, now);
      break;
    case MSG_RECORD:
      cell_on_record (n->cell, &e->record, now);
      drain (w, e->to);
      if (e->freeze && cell_is_member (n->cell)
          && cell_record (n->cell)->version == e->record.version)
        send_holdings (w, e->to, e->from);
      break;
    case MSG_HOLDINGS:
      for (int i = 0; i < e->count; i++)
        budget_on_holding (n->budget, e->version, &e->holdings[i]);
      if (e->from >= 0)
        cell_on_holdings (n->cell, w->nodes[e->from].id, e->version, e->age,
                          now);
      break;
    case MSG_ALLOT:
      apply_allotment (w, e->to, e->holdings, e->count, e->version);
      break;
    case MSG_BUDGET:
      budget_on_message (n->budget, &e->budget, now);
      if (e->budget.kind == BUDGET_GRANT)
        ask_again (w, e->to, true);
      break;
    case MSG_RESULT:
      if (e->process == n->id)
        cell_on_update (n->cell, e->result, e->version, now);
      break;
    case TIMER_ASK:
      if (e->process == n->id)
        ask_again (w, e->to, false);
      break;
    default:
      break;
    }
  drain (w, e->to);
}

static void
handle (struct world *w, struct event *e)
{
  if (e->kind == MSG_UPDATE || e->kind == MSG_READ)
    platform_handle (w, e);
  else if (w->nodes[e->to].state == NODE_PAUSED && e->kind != TIMER_TICK)
    {
      /* Stays in the receive buffer. */
      w->backlog = talloc_realloc (w, w->backlog, struct event *,
                                   (size_t)w->backlog_count + 1);
      w->backlog[w->backlog_count++] = e;
      return;
    }
  else if (e->kind == TIMER_TICK)
    {
      for (int i = 0; i < NODES_MAX; i++)
        if (w->nodes[i].state == NODE_RUNNING)
          drain (w, i);
      check_sums (w);
      schedule (w, e, w->now + TICK_US);
      return;
    }
  else if (w->nodes[e->to].state == NODE_RUNNING)
    node_handle (w, e);
  talloc_free (e);
}

/* The load balancer sends a request for a node that is down, or that reports
   that it is no member, elsewhere. */
static int
serving_node (const struct world *w, int node)
{
  for (int i = 0; i < NODES_MAX; i++)
    {
      const struct node *n = &w->nodes[(node + i) % NODES_MAX];
      if (n->state == NODE_RUNNING && !n->leaving && cell_is_member (n->cell))
        return (node + i) % NODES_MAX;
    }
  return -1;
}

static void
arrive (struct world *w, struct stream *s)
{
  struct org *o = &w->orgs[s->org];
  struct pending p = { .org = s->org };
  int at = serving_node (w, s->node);
  double gap = 1e6 / s->rate;
  s->next_at += w->poisson > 0 ? -log (1 - world_random (w)) * gap : gap;
  o->ideal_level = central_refill (w, o, o->ideal_level, o->ideal_at);
  o->ideal_at = w->now;
  if (at < 0)
    return;
  w->result.offered++;
  p.within = o->ideal_level >= 1;
  o->ideal_level -= p.within;
  w->result.within += p.within;
  struct node *n = &w->nodes[at];
  p.since = clock_of (w, n);
  if (!decide (w, at, &p))
    {
      n->pending = talloc_realloc (w, n->pending, struct pending,
                                   (size_t)n->pending_count + 1);
      n->pending[n->pending_count++] = p;
    }
  drain (w, at);
}

static void
run_until (struct world *w, int64_t end)
{
  for (;;)
    {
      struct stream *next = NULL;
      for (int i = 0; i < w->stream_count; i++)
        if (next == NULL || w->streams[i].next_at < next->next_at)
          next = &w->streams[i];
      int64_t event_at = w->heap_count > 0 ? w->heap[0]->at : INT64_MAX;
      if (next != NULL && next->next_at < (double)event_at)
        {
          if (next->next_at >= (double)end)
            break;
          w->now = (int64_t)next->next_at > w->now ? (int64_t)next->next_at
                                                   : w->now;
          arrive (w, next);
          continue;
        }
      if (event_at >= end)
        break;
      struct event *e = take_first (w);
      w->now = e->at;
      handle (w, e);
    }
  w->now = end;
}

static void
tell_rates (struct world *w, int at)
{
  struct node *n = &w->nodes[at];
  for (int i = 0; i < w->org_count; i++)
    budget_set_rate (n->budget, w->orgs[i].name, w->orgs[i].rate[at],
                     w->orgs[i].burst[at], clock_of (w, n));
}

static void
node_stop (struct node *n)
{
  TALLOC_FREE (n->cell);
  TALLOC_FREE (n->budget);
  n->pending_count = 0;
  n->state = NODE_ABSENT;
}

static void
node_start (struct world *w, int at)
{
  struct node *n = &w->nodes[at];
  struct cell_options options
      = { .heartbeat_us = 500000,
          .member_lease_us
          = w->fault == FAULT_NO_WAIT ? SHORT_HOLD_US : HOLD_US,
          .dead_after_us = (int64_t)(w->dead_after * SECOND) };
  struct budget_options budget
      = { .resend_us = 10000,
          .silent_wait_us
          = w->silent_wait < 0 ? -1 : (int64_t)(w->silent_wait * SECOND),
          .static_shares = w->static_shares > 0 };
  node_stop (n);
  n->id = (uint64_t)(at + 1) * 1000 + (uint64_t)++n->starts;
  n->state = NODE_RUNNING;
  n->lease_at = 0;
  n->leaving = false;
  options.self.id = n->id;
  budget.self = n->id;
  memcpy (options.self.name, n->name, sizeof n->name);
  memcpy (options.self.address, n->name, sizeof n->name);
  n->cell = cell_create (w, &options, clock_of (w, n));
  n->budget = budget_create (w, &budget);
  tell_rates (w, at);
  drain (w, at);
}

static void
node_resume (struct world *w, int at)
{
  int count = w->backlog_count;
  w->nodes[at].state = NODE_RUNNING;
  w->backlog_count = 0;
  for (int i = 0; i < count; i++)
    if (w->backlog[i]->to == at)
      schedule (w, w->backlog[i], w->now);
    else
      w->backlog[w->backlog_count++] = w->backlog[i];
}

static void
announce_all (struct world *w)
{
  for (int i = 0; i < NODES_MAX && w->platform_down <= 0; i++)
    if (!w->nodes[i].no_platform)
      announce (w, i);
}

static void
show (struct world *w)
{
  for (int i = 0; i < NODES_MAX; i++)
    {
      struct node *n = &w->nodes[i];
      struct budget_holding h;
      if (n->state == NODE_ABSENT)
        continue;
      char *text = talloc_asprintf (
          w, "%s v%" PRIu64 " %s%s%s", n->name, cell_record (n->cell)->version,
          n->state == NODE_PAUSED ? "paused " : "",
          cell_is_member (n->cell) ? "member" : "no member",
          cell_lease_valid (n->cell, clock_of (w, n)) ? ", lease"
                                                      : ", no lease");
      for (int k = 0; budget_holding (n->budget, k, &h); k++)
        text = talloc_asprintf_append (text, ", %s %.3f", h.organisation,
                                       h.fraction + 1e-12);
      say (w, "%s", text);
      talloc_free (text);
    }
  say (w, "offered %ld, within %ld, admitted %ld, refused %ld, wrongful %ld",
       w->result.offered, w->result.within, w->result.admitted,
       w->result.refused, w->result.wrongful);
}

static void
verb_kill (struct world *w, int at)
{
  node_stop (&w->nodes[at]);
}

static void
verb_revive (struct world *w, int at)
{
  if (w->nodes[at].state == NODE_ABSENT)
    node_start (w, at);
}

static void
verb_pause (struct world *w, int at)
{
  if (w->nodes[at].state == NODE_RUNNING)
    w->nodes[at].state = NODE_PAUSED;
}

static void
verb_resume (struct world *w, int at)
{
  if (w->nodes[at].state == NODE_PAUSED)
    node_resume (w, at);
}

static void
verb_leave (struct world *w, int at)
{
  if (w->nodes[at].state == NODE_ABSENT)
    return;
  w->nodes[at].leaving = true;
  cell_set_leaving (w->nodes[at].cell, true);
  budget_set_leaving (w->nodes[at].budget, true);
}

/* The platform's list no longer contains the VM. */
static void
verb_gone (struct world *w, int at)
{
  for (int i = 0; i < NODES_MAX; i++)
    if (w->nodes[i].state == NODE_RUNNING && !w->nodes[i].no_platform)
      cell_on_vm_gone (w->nodes[i].cell, w->nodes[at].name,
                       clock_of (w, &w->nodes[i]));
}

/* The nodes named cannot reach the others. */
static void
verb_cut (struct world *w, int at)
{
  w->nodes[at].side = 1;
}

static void
verb_blind (struct world *w, int at)
{
  w->nodes[at].no_platform = true;
}

/* Commands of the form "VERB NODE...". */
static const struct
{
  const char *name;
  void (*run) (struct world *w, int at);
} verbs[] = {
  { "start", node_start },   { "restart", node_start },
  { "kill", verb_kill },     { "pause", verb_pause },
  { "resume", verb_resume }, { "leave", verb_leave },
  { "gone", verb_gone },     { "cut", verb_cut },
  { "blind", verb_blind },   { "revive", verb_revive },
};

static bool
run_verb (struct world *w, int argc, char **argv)
{
  size_t v = 0;
  while (v < sizeof verbs / sizeof *verbs
         && strcmp (verbs[v].name, argv[0]) != 0)
    v++;
  if (v == sizeof verbs / sizeof *verbs)
    return false;
  /* "cut" and "blind" replace what was set before; "gone" without a name
     means all nodes that do not run. */
  for (int i = 0; i < NODES_MAX; i++)
    if (verbs[v].run == verb_cut)
      w->nodes[i].side = 0;
    else if (verbs[v].run == verb_blind)
      w->nodes[i].no_platform = false;
    else if (verbs[v].run == verb_gone && argc == 1
             && w->nodes[i].state == NODE_ABSENT)
      verb_gone (w, i);
  for (int i = 1; i < argc; i++)
    {
      int at = node_find (w, argv[i]);
      if (at < 0)
        return false;
      verbs[v].run (w, at);
    }
  if (verbs[v].run == verb_blind)
    announce_all (w);
  return true;
}

/* set NAME VALUE */
static bool
set_value (struct world *w, const char *name, double value)
{
  const struct
  {
    const char *name;
    double *value;
  } values[] = {
    { "drift", &w->drift },
    { "jitter", &w->jitter_us },
    { "repeat", &w->repeat },
    { "dead-after", &w->dead_after },
    { "poisson", &w->poisson },
    { "static", &w->static_shares },
    { "silent-wait", &w->silent_wait },
    { "lose", &w->lose },
    { "lose-answer", &w->lose_answer },
    { "lose-record", &w->lose_kind[MSG_RECORD] },
    { "lose-allot", &w->lose_kind[MSG_ALLOT] },
    { "lose-budget", &w->lose_kind[MSG_BUDGET] },
    { "platform-down", &w->platform_down },
  };
  for (size_t i = 0; i < sizeof values / sizeof *values; i++)
    if (strcmp (values[i].name, name) == 0)
      {
        *values[i].value = value;
        for (int k = 0; k < NODES_MAX && values[i].value == &w->drift; k++)
          w->nodes[k].drift = value * (2 * world_random (w) - 1);
        if (values[i].value == &w->platform_down)
          announce_all (w);
        return true;
      }
  return false;
}

/* org NAME RATE BURST [NODE...]: set a rate, at all nodes if none is
   named. */
static bool
set_rate (struct world *w, int argc, char **argv)
{
  int at = 0;
  while (at < w->org_count && strcmp (w->orgs[at].name, argv[1]) != 0)
    at++;
  if (argc < 4 || at == ORGS_MAX)
    return false;
  struct org *o = &w->orgs[at];
  bool is_new = at == w->org_count;
  w->org_count += is_new;
  snprintf (o->name, sizeof o->name, "%s", argv[1]);
  o->level = central_refill (w, o, o->level, o->level_at);
  o->ideal_level = central_refill (w, o, o->ideal_level, o->ideal_at);
  o->level_at = o->ideal_at = w->now;
  for (int i = 0; i < NODES_MAX; i++)
    {
      bool named = argc == 4;
      for (int k = 4; k < argc; k++)
        named = named || strcmp (argv[k], w->nodes[i].name) == 0;
      if (!named)
        continue;
      o->rate[i] = strtod (argv[2], NULL);
      o->burst[i] = strtod (argv[3], NULL);
      if (w->nodes[i].state != NODE_ABSENT)
        tell_rates (w, i);
    }
  if (is_new)
    o->level = o->burst[0];
  return true;
}

/* load ORG NODE RATE */
static bool
set_load (struct world *w, int argc, char **argv)
{
  int org = 0, at = 0, node = argc == 4 ? node_find (w, argv[2]) : -1;
  while (org < w->org_count && strcmp (w->orgs[org].name, argv[1]) != 0)
    org++;
  if (node < 0 || org == w->org_count)
    return false;
  while (at < w->stream_count
         && (w->streams[at].org != org || w->streams[at].node != node))
    at++;
  if (at == w->stream_count)
    w->stream_count++;
  /* Streams of the same rate do not arrive in the same instant. */
  double rate = strtod (argv[3], NULL);
  w->streams[at]
      = (struct stream){ org, node, rate,
                         (double)w->now + 1e6 / rate * world_random (w) };
  return rate > 0;
}

bool
budget_world_command (struct world *w, const char *line)
{
  char text[256], *save = NULL, *argv[20];
  int argc = 0;
  snprintf (text, sizeof text, "%.*s", (int)strcspn (line, "#\n"), line);
  for (char *word = strtok_r (text, " ", &save); word != NULL && argc < 20;
       word = strtok_r (NULL, " ", &save))
    argv[argc++] = word;
  if (argc == 0)
    return true;
  if (strcmp (argv[0], "run") != 0 && strcmp (argv[0], "show") != 0)
    say (w, "> %.*s", (int)strcspn (line, "#\n"), line);
  double value = argc > 1 ? strtod (argv[argc - 1], NULL) : 0;
  if (strcmp (argv[0], "run") == 0 && argc == 2)
    run_until (w, w->now + (int64_t)(value * SECOND));
  else if (strcmp (argv[0], "show") == 0)
    show (w);
  else if (strcmp (argv[0], "quiet") == 0)
    w->stream_count = 0;
  else if (strcmp (argv[0], "set") == 0 && argc == 3)
    return set_value (w, argv[1], value);
  else if (strcmp (argv[0], "org") == 0 && argc > 1)
    return set_rate (w, argc, argv);
  else if (strcmp (argv[0], "load") == 0 && argc > 1)
    return set_load (w, argc, argv);
  else
    return run_verb (w, argc, argv);
  return true;
}

bool
world_script (struct world *w, const char *path)
{
  FILE *file = fopen (path, "r");
  char line[256];
  bool ok = file != NULL;
  while (ok && fgets (line, sizeof line, file) != NULL)
    {
      ok = budget_world_command (w, line);
      if (!ok)
        say (w, "%s: invalid command: %s", path, line);
    }
  if (file != NULL)
    fclose (file);
  return ok;
}

struct world *
budget_world_create (void *parent, long seed, enum world_fault fault)
{
  struct world *w = talloc_zero (parent, struct world);
  w->random[0] = (unsigned short)seed;
  w->random[1] = (unsigned short)(seed >> 16);
  w->random[2] = 0x330e;
  w->fault = fault;
  w->dead_after = 1.5;
  w->transcript = talloc_strdup (w, "");
  for (int i = 0; i < NODES_MAX; i++)
    {
      w->nodes[i].name[0] = (char)('a' + i);
      w->nodes[i].offset = (i + 1) * 1000 * SECOND;
    }
  schedule (w, event_new (w, TIMER_TICK, 0, 0), 0);
  return w;
}

const char *
world_transcript (const struct world *w)
{
  return w->transcript;
}

struct world_result
budget_world_result (const struct world *w)
{
  return w->result;
}

bool
world_serves (struct world *w)
{
  for (int i = 0; i < NODES_MAX; i++)
    if (w->nodes[i].state != NODE_ABSENT && !may_spend (w, &w->nodes[i]))
      return false;
  for (int o = 0; o < w->org_count; o++)
    {
      double sum = 0;
      struct budget_holding h;
      for (int i = 0; i < NODES_MAX; i++)
        for (int k = 0; w->nodes[i].state != NODE_ABSENT
                        && budget_holding (w->nodes[i].budget, k, &h);
             k++)
          sum += strcmp (h.organisation, w->orgs[o].name) == 0 ? h.fraction
                                                               : 0;
      if (fabs (sum - 1) > 1e-6)
        return false;
    }
  return true;
}

bool
world_holds (const struct world *w)
{
  return w->result.worst_sum <= 1 + 1e-9 && w->result.worst_level >= -1e-6;
}
