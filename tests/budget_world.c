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
#define SECOND_US 1000000LL
#define MEMBER_LEASE_US 2000000
#define SHORT_MEMBER_LEASE_US 700000

/* Kinds of messages and timers.  The order matters: kinds below MSG_UPDATE can
   be duplicated, and timers come last. */
enum event_kind
{
  MSG_HEARTBEAT,
  MSG_JOIN,
  MSG_RECORD,   /* The cell's record, from the platform or from a node. */
  MSG_HOLDINGS, /* Answer to a MSG_RECORD with freeze: the fractions. */
  MSG_ALLOT,    /* New fractions, from the coordinator. */
  MSG_BUDGET,
  MSG_UPDATE, /* Request to the platform to replace the record. */
  MSG_RESULT, /* Its answer. */
  MSG_READ,   /* Request to the platform, answered by MSG_RECORD. */
  TIMER_TICK,
  TIMER_RETRY
};

/* A message on its way or a timer.  The platform is node -1. */
struct event
{
  int64_t at;   /* Virtual time of the event, us. */
  uint64_t seq; /* Orders events of the same time. */
  enum event_kind kind;
  int from, to;
  /* Id of the process that set the timer or that receives the result; a
     restart of the node gives it a new id. */
  uint64_t process;
  uint64_t version; /* Version of the record that the message refers to. */
  bool freeze;      /* MSG_RECORD: the receiver answers with its holdings. */
  int result;       /* MSG_RESULT: 0: done, 1: conflict, 2: lost. */
  int64_t age;      /* MSG_HOLDINGS: result of cell_nonmember_echo_age. */
  int count;        /* Number of reports or holdings. */
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

/* A request that waits for budget. */
struct pending_request
{
  int org;
  int64_t since;    /* Its arrival, the node's clock. */
  int64_t retry_at; /* Virtual time of the next retry. */
  bool within;      /* It fits the central bucket. */
};

/* A VM with one daemon; id and start_count change with each start. */
struct node
{
  char name[8];
  enum
  {
    NODE_ABSENT,
    NODE_RUNNING,
    NODE_PAUSED
  } state;
  int start_count;
  uint64_t id;
  int64_t offset; /* Difference of its clock from virtual time. */
  double drift;   /* Difference of its clock rate from 1. */
  struct cell *cell;
  struct budget *budget;
  bool no_platform; /* The node cannot reach the platform. */
  bool leaving;
  int partition_side; /* Nodes of different sides are cut off. */
  /* Last time when its lease was valid, own clock; 0: never. */
  int64_t lease_valid_at;
  struct pending_request *pending;
  int pending_count;
};

/* An organisation with its central buckets: level for admitted requests,
   ideal_level for requests that fit. */
struct org
{
  char name[64];
  double rate[NODES_MAX], burst[NODES_MAX]; /* As each node knows them. */
  double ideal_level, level, min_central_level;
  int64_t ideal_at, level_at;
};

/* The requests of one organisation to one node. */
struct load_stream
{
  int org, node;
  double rate;    /* Requests per second. */
  double next_at; /* Virtual time of the next request, us. */
};

struct budget_world
{
  unsigned short random[3];
  enum budget_world_fault fault;
  int64_t now;
  uint64_t seq, last_op;
  struct event **heap; /* Min-heap by time. */
  int heap_count;
  struct event **backlog; /* Events for paused nodes. */
  int backlog_count;
  struct node nodes[NODES_MAX];
  struct org orgs[ORGS_MAX];
  int org_count;
  struct load_stream streams[STREAMS_MAX];
  int stream_count;
  /* Settings; flags (0: off) are numbers too, so that one table serves all. */
  double platform_down, poisson, static_shares;
  double clock_back;  /* A start of a daemon is a start of its VM, whose clock
                         is this many seconds lower than before; 0: it is not.
                       */
  double silent_wait; /* budget_options.silent_wait_us, but in seconds. */
  double drift;       /* Largest difference of a clock rate from 1. */
  /* Probabilities per message. */
  double loss, loss_by_kind[TIMER_RETRY + 1], duplication;
  double answer_loss; /* Loss of the answers to updates that may have taken
                         effect. */
  double jitter_us;   /* Upper bound of the random delay of a message. */
  double dead_after;  /* cell_options.dead_after_us, but in seconds. */
  struct cell_record record;
  struct budget_world_result result;
  char *transcript;
};

double
budget_world_random (struct budget_world *w)
{
  return erand48 (w->random);
}

/* Append a line to the transcript, with the virtual time. */
static void __attribute__ ((format (printf, 2, 3)))
print_line (struct budget_world *w, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  w->transcript = talloc_asprintf_append_buffer (w->transcript, "%9.3f ",
                                                 (double)w->now / SECOND_US);
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
event_new (struct budget_world *w, enum event_kind kind, int from, int to)
{
  size_t size = sizeof (struct event);
  /* Only as much as the kind needs, as most events are small and a record
     takes kilobytes. */
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

/* Insert an event into the heap. */
static void
schedule (struct budget_world *w, struct event *e, int64_t at)
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

/* Remove the earliest event from the heap. */
static struct event *
pop_event (struct budget_world *w)
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

/* One-way delay of a message. */
static int64_t
random_delay_us (struct budget_world *w)
{
  return 1500 + (int64_t)(w->jitter_us * budget_world_random (w));
}

/* Send a message between nodes or to or from the platform.  Of the messages
   with the platform only MSG_RECORD can be lost here: platform_handle
   simulates failures of calls. */
static void
send_event (struct budget_world *w, struct event *e)
{
  bool lost = budget_world_random (w) < w->loss + w->loss_by_kind[e->kind];
  if (e->from >= 0 && e->to >= 0
      && w->nodes[e->from].partition_side != w->nodes[e->to].partition_side)
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
  if (e->kind < MSG_UPDATE && budget_world_random (w) < w->duplication)
    {
      struct event *copy = talloc_memdup (w, e, talloc_get_size (e));
      if (w->fault == FAULT_NO_GRANT_IDS && e->kind == MSG_BUDGET
          && e->budget.id != 0)
        copy->budget.id += 1;
      schedule (w, copy,
                w->now + random_delay_us (w)
                    + (int64_t)(budget_world_random (w) * 2e5));
    }
  schedule (w, e, w->now + random_delay_us (w));
}

static int64_t
local_time (const struct budget_world *w, const struct node *n)
{
  return n->offset + (int64_t)((double)w->now * (1 + n->drift));
}

static int
node_find (const struct budget_world *w, const char *name)
{
  for (int i = 0; i < NODES_MAX; i++)
    if (strcmp (w->nodes[i].name, name) == 0)
      return i;
  return -1;
}

/* Whether the node may spend its fractions now. */
static bool
may_spend (const struct budget_world *w, struct node *n)
{
  int64_t now;
  if (n->state == NODE_ABSENT)
    return false;
  now = local_time (w, n);
  if (cell_lease_valid (n->cell, now))
    n->lease_valid_at = now;
  if (w->fault == FAULT_NO_LEASE)
    return true;
  /* The cell module waits only SHORT_MEMBER_LEASE_US for the leases of removed
     members, but the node spends for MEMBER_LEASE_US. */
  if (w->fault == FAULT_NO_WAIT)
    return cell_is_member (n->cell) && n->lease_valid_at != 0
           && now < n->lease_valid_at + MEMBER_LEASE_US
                        - SHORT_MEMBER_LEASE_US;
  return cell_lease_valid (n->cell, now);
}

/* @return the level of a bucket that had @p level at @p from, refilled with
   the highest rate and burst that any node knows. */
static double
central_refill (const struct budget_world *w, const struct org *o,
                double level, int64_t from)
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

/* Update the largest sum of an organisation's spendable fractions. */
static void
update_max_fraction_sum (struct budget_world *w)
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
    w->result.max_fraction_sum = fmax (w->result.max_fraction_sum, sum[o]);
}

static void
remove_pending (struct node *n, int at)
{
  n->pending_count--;
  memmove (&n->pending[at], &n->pending[at + 1],
           (size_t)(n->pending_count - at) * sizeof *n->pending);
}

/* Let the budget module of a node decide a request, and schedule a retry if it
   has to wait.
   @return whether it is admitted or refused. */
static bool
decide_request (struct budget_world *w, int at, struct pending_request *p)
{
  struct node *n = &w->nodes[at];
  struct org *o = &w->orgs[p->org];
  int64_t now = local_time (w, n);
  struct budget_decision d = budget_admit (
      n->budget, o->name, may_spend (w, n), now - p->since, now);
  if (d.verdict == BUDGET_WAIT)
    {
      if (p->retry_at <= w->now)
        {
          struct event *e = event_new (w, TIMER_RETRY, at, at);
          e->process = n->id;
          p->retry_at = w->now + (d.wait_us > 0 ? d.wait_us : 1);
          schedule (w, e, p->retry_at);
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
  o->min_central_level = fmin (o->min_central_level, o->level);
  w->result.min_central_level = fmin (w->result.min_central_level, o->level);
  return true;
}

/* Decide pending requests again: all of them after a grant, else those whose
   retry is due. */
static void
retry_pending (struct budget_world *w, int at, bool all)
{
  struct node *n = &w->nodes[at];
  for (int i = 0; i < n->pending_count;)
    {
      struct pending_request *p = &n->pending[i];
      /* budget_admit takes a wait of 0 for the first call for a request, so a
         request is not decided again at the instant of its arrival. */
      bool is_due
          = local_time (w, n) > p->since && (all || p->retry_at <= w->now);
      if (is_due && decide_request (w, at, p))
        remove_pending (n, i);
      else
        i++;
    }
}

/* Report the fractions of a node to the one that froze them. */
static void
send_holdings (struct budget_world *w, int from, int to)
{
  struct node *n = &w->nodes[from];
  struct event *e = event_new (w, MSG_HOLDINGS, from, to);
  e->version = cell_record (n->cell)->version;
  e->age = cell_nonmember_echo_age (n->cell, local_time (w, n));
  while (budget_holding (n->budget, e->count, &e->holdings[e->count]))
    e->count++;
  send_event (w, e);
}

static const char *
member_names (struct budget_world *w, const struct cell_record *r)
{
  char *text = talloc_strdup (w->transcript, "");
  for (int i = 0; i < r->member_count; i++)
    text = talloc_asprintf_append (text, "%s%s", i > 0 ? "," : "",
                                   r->members[i].name);
  return text;
}

/* Apply the new fractions that the coordinator allotted to a node. */
static void
apply_allotment (struct budget_world *w, int at,
                 const struct budget_holding *list, int count,
                 uint64_t version)
{
  struct node *n = &w->nodes[at];
  int64_t now = local_time (w, n);
  if (w->fault == FAULT_NO_FREEZE && cell_record (n->cell)->version == version)
    budget_freeze (n->budget, cell_record (n->cell), true, now);
  for (int i = 0; i < count; i++)
    budget_allot (n->budget, version, list[i].organisation, list[i].fraction,
                  now);
  if (budget_settle (n->budget, version, now))
    cell_on_allot (n->cell, version, now);
}

/* Carry out an action of the cell module. */
static void
run_cell_action (struct budget_world *w, int at, const struct cell_action *a)
{
  struct node *n = &w->nodes[at];
  int64_t now = local_time (w, n);
  const struct cell_member *m = cell_find (n->cell, a->member);
  int to = m != NULL ? node_find (w, m->address) : -1;
  struct event *e = NULL;
  switch (a->kind)
    {
    case CELL_ADOPT:
      if (w->fault != FAULT_NO_FREEZE || !a->keep)
        budget_freeze (n->budget, &a->record, a->keep, now);
      print_line (w, "%s adopts v%" PRIu64 " of %s%s", n->name, a->version,
                  member_names (w, &a->record),
                  a->keep ? "" : ", holds nothing");
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
          print_line (w, "%s allots v%" PRIu64, n->name, a->version);
          apply_allotment (w, at, e->holdings, e->count, a->version);
          TALLOC_FREE (e);
        }
      break;
    case CELL_UPDATE:
      print_line (w, "%s proposes %s instead of v%" PRIu64, n->name,
                  member_names (w, &a->record), a->version);
      e = event_new (w, MSG_UPDATE, at, -1);
      e->record = a->record;
      break;
    case CELL_READ:
      e = event_new (w, MSG_READ, at, -1);
      break;
    }
  if (e != NULL && (to >= 0 || a->kind == CELL_UPDATE || a->kind == CELL_READ))
    send_event (w, e);
  else
    talloc_free (e);
}

/* Carry out all actions that the modules of a node have ready. */
static void
run_actions (struct budget_world *w, int at)
{
  struct node *n = &w->nodes[at];
  struct cell_action action;
  struct budget_message m;
  int64_t now = local_time (w, n);
  while (cell_next_action (n->cell, now, ++w->last_op, &action))
    run_cell_action (w, at, &action);
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
      send_event (w, e);
      if (w->fault == FAULT_NO_DEDUCTION && m.kind == BUDGET_GRANT
          && m.id != 0)
        {
          /* The sender gets back what it deducted. */
          m.from = m.to;
          m.id += 1U << 30;
          budget_on_message (n->budget, &m, now);
        }
    }
}

/* Send the record from the platform to a node. */
static void
send_record (struct budget_world *w, int to)
{
  struct event *e = event_new (w, MSG_RECORD, -1, to);
  e->record = w->record;
  send_event (w, e);
}

/* Handle a read or an update of the record.  An update that gets no answer
   fails at its sender after one second. */
static void
platform_handle (struct budget_world *w, const struct event *e)
{
  bool down = w->platform_down > 0 || w->nodes[e->from].no_platform;
  struct event *reply = event_new (w, MSG_RESULT, -1, e->from);
  reply->process = w->nodes[e->from].id;
  if (e->kind == MSG_READ)
    {
      if (!down)
        send_record (w, e->from);
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
              send_record (w, i);
        }
      reply->version = w->record.version;
      if (budget_world_random (w) < w->answer_loss)
        reply->result = 2;
    }
  print_line (w, "platform answers %s: %s", w->nodes[e->from].name,
              reply->result == 0   ? "done"
              : reply->result == 1 ? "conflict"
                                   : "lost");
  schedule (w, reply, w->now + (reply->result == 2 ? SECOND_US : 2000));
}

static void
node_handle (struct budget_world *w, const struct event *e)
{
  struct node *n = &w->nodes[e->to];
  int64_t now = local_time (w, n);
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
      run_actions (w, e->to);
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
        retry_pending (w, e->to, true);
      break;
    case MSG_RESULT:
      if (e->process == n->id)
        cell_on_update (n->cell, e->result, e->version, now);
      break;
    case TIMER_RETRY:
      if (e->process == n->id)
        retry_pending (w, e->to, false);
      break;
    default:
      break;
    }
  run_actions (w, e->to);
}

static void
handle_event (struct budget_world *w, struct event *e)
{
  if (e->kind == MSG_UPDATE || e->kind == MSG_READ)
    platform_handle (w, e);
  else if (w->nodes[e->to].state == NODE_PAUSED && e->kind != TIMER_TICK)
    {
      /* The message stays in the node's receive buffer. */
      w->backlog = talloc_realloc (w, w->backlog, struct event *,
                                   (size_t)w->backlog_count + 1);
      w->backlog[w->backlog_count++] = e;
      return;
    }
  else if (e->kind == TIMER_TICK)
    {
      for (int i = 0; i < NODES_MAX; i++)
        if (w->nodes[i].state == NODE_RUNNING)
          run_actions (w, i);
      update_max_fraction_sum (w);
      schedule (w, e, w->now + TICK_US);
      return;
    }
  else if (w->nodes[e->to].state == NODE_RUNNING)
    node_handle (w, e);
  talloc_free (e);
}

/* @return the node that gets a request for @p node: like a load balancer,
   the next one that runs, is a member and is not leaving; -1 if there is
   none. */
static int
find_serving_node (const struct budget_world *w, int node)
{
  for (int i = 0; i < NODES_MAX; i++)
    {
      const struct node *n = &w->nodes[(node + i) % NODES_MAX];
      if (n->state == NODE_RUNNING && !n->leaving && cell_is_member (n->cell))
        return (node + i) % NODES_MAX;
    }
  return -1;
}

/* Offer the next request of a load stream. */
static void
offer_request (struct budget_world *w, struct load_stream *s)
{
  struct org *o = &w->orgs[s->org];
  struct pending_request p = { .org = s->org };
  int at = find_serving_node (w, s->node);
  double gap = 1e6 / s->rate;
  s->next_at
      += w->poisson > 0 ? -log (1 - budget_world_random (w)) * gap : gap;
  o->ideal_level = central_refill (w, o, o->ideal_level, o->ideal_at);
  o->ideal_at = w->now;
  if (at < 0)
    return;
  w->result.offered++;
  p.within = o->ideal_level >= 1;
  o->ideal_level -= p.within;
  w->result.within += p.within;
  struct node *n = &w->nodes[at];
  p.since = local_time (w, n);
  if (!decide_request (w, at, &p))
    {
      n->pending = talloc_realloc (w, n->pending, struct pending_request,
                                   (size_t)n->pending_count + 1);
      n->pending[n->pending_count++] = p;
    }
  run_actions (w, at);
}

static void
run_until (struct budget_world *w, int64_t end)
{
  for (;;)
    {
      struct load_stream *next = NULL;
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
          offer_request (w, next);
          continue;
        }
      if (event_at >= end)
        break;
      struct event *e = pop_event (w);
      w->now = e->at;
      handle_event (w, e);
    }
  w->now = end;
}

/* Set the rates and bursts in the budget module of a node. */
static void
apply_rates (struct budget_world *w, int at)
{
  struct node *n = &w->nodes[at];
  for (int i = 0; i < w->org_count; i++)
    budget_set_rate (n->budget, w->orgs[i].name, w->orgs[i].rate[at],
                     w->orgs[i].burst[at], local_time (w, n));
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
node_start (struct budget_world *w, int at)
{
  struct node *n = &w->nodes[at];
  struct cell_options options
      = { .heartbeat_us = 500000,
          .member_lease_us = w->fault == FAULT_NO_WAIT ? SHORT_MEMBER_LEASE_US
                                                       : MEMBER_LEASE_US,
          .dead_after_us = (int64_t)(w->dead_after * SECOND_US) };
  struct budget_options budget
      = { .resend_us = 10000,
          .silent_wait_us
          = w->silent_wait < 0 ? -1 : (int64_t)(w->silent_wait * SECOND_US),
          .static_shares = w->static_shares > 0 };
  node_stop (n);
  if (n->start_count > 0)
    n->offset -= (int64_t)(w->clock_back * SECOND_US);
  n->id = (uint64_t)(at + 1) * 1000 + (uint64_t)++n->start_count;
  n->state = NODE_RUNNING;
  n->lease_valid_at = 0;
  n->leaving = false;
  options.self.id = n->id;
  budget.self = n->id;
  memcpy (options.self.name, n->name, sizeof n->name);
  memcpy (options.self.address, n->name, sizeof n->name);
  n->cell = cell_create (w, &options, local_time (w, n));
  n->budget = budget_create (w, &budget);
  apply_rates (w, at);
  run_actions (w, at);
}

/* Resume a paused node and deliver its backlog. */
static void
node_resume (struct budget_world *w, int at)
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
send_record_to_all (struct budget_world *w)
{
  for (int i = 0; i < NODES_MAX && w->platform_down <= 0; i++)
    if (!w->nodes[i].no_platform)
      send_record (w, i);
}

static void
print_nodes (struct budget_world *w)
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
          cell_lease_valid (n->cell, local_time (w, n)) ? ", lease"
                                                        : ", no lease");
      for (int k = 0; budget_holding (n->budget, k, &h); k++)
        text = talloc_asprintf_append (text, ", %s %.3f", h.organisation,
                                       h.fraction + 1e-12);
      print_line (w, "%s", text);
      talloc_free (text);
    }
  print_line (
      w, "offered %ld, within %ld, admitted %ld, refused %ld, wrongful %ld",
      w->result.offered, w->result.within, w->result.admitted,
      w->result.refused, w->result.wrongful);
}

static void
verb_kill (struct budget_world *w, int at)
{
  node_stop (&w->nodes[at]);
}

static void
verb_revive (struct budget_world *w, int at)
{
  if (w->nodes[at].state == NODE_ABSENT)
    node_start (w, at);
}

static void
verb_pause (struct budget_world *w, int at)
{
  if (w->nodes[at].state == NODE_RUNNING)
    w->nodes[at].state = NODE_PAUSED;
}

static void
verb_resume (struct budget_world *w, int at)
{
  if (w->nodes[at].state == NODE_PAUSED)
    node_resume (w, at);
}

static void
verb_leave (struct budget_world *w, int at)
{
  if (w->nodes[at].state == NODE_ABSENT)
    return;
  w->nodes[at].leaving = true;
  cell_set_leaving (w->nodes[at].cell, true);
  budget_set_leaving (w->nodes[at].budget, true);
}

/* The platform's list of VMs no longer contains the node. */
static void
verb_gone (struct budget_world *w, int at)
{
  for (int i = 0; i < NODES_MAX; i++)
    if (w->nodes[i].state == NODE_RUNNING && !w->nodes[i].no_platform)
      cell_on_vm_gone (w->nodes[i].cell, w->nodes[at].name,
                       local_time (w, &w->nodes[i]));
}

/* The node cannot reach the nodes that the command does not name. */
static void
verb_cut (struct budget_world *w, int at)
{
  w->nodes[at].partition_side = 1;
}

static void
verb_blind (struct budget_world *w, int at)
{
  w->nodes[at].no_platform = true;
}

/* Commands of the form "VERB NODE...". */
static const struct
{
  const char *name;
  void (*run) (struct budget_world *w, int at);
} verbs[] = {
  { "start", node_start },   { "restart", node_start },
  { "kill", verb_kill },     { "pause", verb_pause },
  { "resume", verb_resume }, { "leave", verb_leave },
  { "gone", verb_gone },     { "cut", verb_cut },
  { "blind", verb_blind },   { "revive", verb_revive },
};

static bool
run_verb (struct budget_world *w, int argc, char **argv)
{
  size_t v = 0;
  while (v < sizeof verbs / sizeof *verbs
         && strcmp (verbs[v].name, argv[0]) != 0)
    v++;
  if (v == sizeof verbs / sizeof *verbs)
    return false;
  /* "cut" and "blind" replace the effect of the previous such command; "gone"
     without a name means all nodes that do not run. */
  for (int i = 0; i < NODES_MAX; i++)
    if (verbs[v].run == verb_cut)
      w->nodes[i].partition_side = 0;
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
    send_record_to_all (w);
  return true;
}

/* set NAME VALUE */
static bool
set_value (struct budget_world *w, const char *name, double value)
{
  const struct
  {
    const char *name;
    double *value;
  } values[] = {
    { "drift", &w->drift },
    { "jitter", &w->jitter_us },
    { "repeat", &w->duplication },
    { "dead-after", &w->dead_after },
    { "poisson", &w->poisson },
    { "static", &w->static_shares },
    { "silent-wait", &w->silent_wait },
    { "lose", &w->loss },
    { "lose-answer", &w->answer_loss },
    { "lose-record", &w->loss_by_kind[MSG_RECORD] },
    { "lose-allot", &w->loss_by_kind[MSG_ALLOT] },
    { "lose-budget", &w->loss_by_kind[MSG_BUDGET] },
    { "platform-down", &w->platform_down },
    { "clock-back", &w->clock_back },
  };
  for (size_t i = 0; i < sizeof values / sizeof *values; i++)
    if (strcmp (values[i].name, name) == 0)
      {
        *values[i].value = value;
        for (int k = 0; k < NODES_MAX && values[i].value == &w->drift; k++)
          w->nodes[k].drift = value * (2 * budget_world_random (w) - 1);
        if (values[i].value == &w->platform_down)
          send_record_to_all (w);
        return true;
      }
  return false;
}

/* org NAME RATE BURST [NODE...]: set the rate and burst that the nodes know,
   all nodes if none is named. */
static bool
set_rate (struct budget_world *w, int argc, char **argv)
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
        apply_rates (w, i);
    }
  if (is_new)
    o->level = o->burst[0];
  return true;
}

/* load ORG NODE RATE */
static bool
set_load (struct budget_world *w, int argc, char **argv)
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
  /* A random start, so that requests of streams with the same rate do not
     arrive at the same instant. */
  double rate = strtod (argv[3], NULL);
  w->streams[at] = (struct load_stream){
    org, node, rate, (double)w->now + 1e6 / rate * budget_world_random (w)
  };
  return rate > 0;
}

bool
budget_world_command (struct budget_world *w, const char *line)
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
    print_line (w, "> %.*s", (int)strcspn (line, "#\n"), line);
  double value = argc > 1 ? strtod (argv[argc - 1], NULL) : 0;
  if (strcmp (argv[0], "run") == 0 && argc == 2)
    run_until (w, w->now + (int64_t)(value * SECOND_US));
  else if (strcmp (argv[0], "show") == 0)
    print_nodes (w);
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
budget_world_run_script (struct budget_world *w, const char *path)
{
  FILE *file = fopen (path, "r");
  char line[256];
  bool ok = file != NULL;
  while (ok && fgets (line, sizeof line, file) != NULL)
    {
      ok = budget_world_command (w, line);
      if (!ok)
        print_line (w, "%s: invalid command: %s", path, line);
    }
  if (file != NULL)
    fclose (file);
  return ok;
}

struct budget_world *
budget_world_create (void *parent, long seed, enum budget_world_fault fault)
{
  struct budget_world *w = talloc_zero (parent, struct budget_world);
  w->random[0] = (unsigned short)seed;
  w->random[1] = (unsigned short)(seed >> 16);
  w->random[2] = 0x330e;
  w->fault = fault;
  w->dead_after = 1.5;
  w->transcript = talloc_strdup (w, "");
  for (int i = 0; i < NODES_MAX; i++)
    {
      w->nodes[i].name[0] = (char)('a' + i);
      w->nodes[i].offset = (i + 1) * 1000 * SECOND_US;
    }
  schedule (w, event_new (w, TIMER_TICK, 0, 0), 0);
  return w;
}

const char *
budget_world_transcript (const struct budget_world *w)
{
  return w->transcript;
}

struct budget_world_result
budget_world_result (const struct budget_world *w)
{
  return w->result;
}

bool
budget_world_can_serve (struct budget_world *w)
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
budget_world_limits_held (const struct budget_world *w)
{
  return w->result.max_fraction_sum <= 1 + 1e-9
         && w->result.min_central_level >= -1e-6;
}
