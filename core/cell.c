#include "core/cell.h"

#include <stdlib.h>

/* Members, removed members and candidates of one cell at the same time. */
#define PEERS_MAX (4 * CELL_MAX_MEMBERS)
#define GONE_MAX (2 * CELL_MAX_MEMBERS)
#define NEVER INT64_MIN

/* Interval at which conditions that depend on time alone are checked. */
#define CHECK_US 50000

/* The platform answers in milliseconds; a longer silence is a lost answer. */
#define PLATFORM_TIMEOUT_US 2000000

/* A join is believed after this many requests, so that one delayed request
   of an ended process does not replace its successor. */
#define JOINS_NEEDED 2

/* Largest backoff of a process that adds itself to a silent cell, so that an
   isolated one does not freeze the others again and again. */
#define TAKEOVER_MAX_US 60000000

enum due
{
  DUE_HEARTBEAT = 1,
  DUE_JOIN = 2,
  DUE_FREEZE = 4,
  DUE_ALLOT = 8
};

struct peer
{
  struct cell_member member; /* id 0: unused entry. */
  int64_t heard_at;          /* Newest heartbeat, on the own clock. */
  int64_t grace_at;          /* Silence is counted from here at least. */
  int64_t sent_at;           /* Newest heartbeat, on the peer's clock. */
  uint64_t version;          /* In the newest heartbeat. */
  int64_t confirmed_at;      /* Last heartbeat that an echo may confirm. */
  int64_t echo;              /* Own send time that the peer confirmed. */
  uint64_t settled;
  bool leaving;
  int silent_count;
  uint64_t silent[CELL_MAX_MEMBERS];
  int joins;
  int64_t join_first, join_last;
  uint64_t reported;   /* Version of the last holdings. */
  int64_t outsider_at; /* Upper bound, on the own clock. */
  unsigned due;
};

struct cell
{
  struct cell_options options;
  struct cell_record record, proposed;
  int64_t created_at, adopted_at, last_next, next_tick;
  int64_t next_check;
  unsigned silent;     /* Bit per member that was silent at the last check. */
  int64_t outsider_at; /* Last confirmation of a peer since dropped. */
  uint64_t settled;
  uint64_t read_version; /* A peer uses at least this version. */
  int64_t next_read;
  int64_t update_at, next_proposal, wanted_since;
  int64_t takeover_us, alone_since;
  int64_t blocked_at, reported_at; /* Of the current version. */
  struct peer peers[PEERS_MAX];
  struct peer *members[CELL_MAX_MEMBERS]; /* In the order of the record. */
  int64_t gone_at[GONE_MAX];
  char gone[GONE_MAX][64];
  bool known; /* The platform or a peer said what the record is. */
  bool leaving;
  bool adopt_due, adopt_keep;
  bool read_due, updating, allotting;
  bool dirty; /* An event may have caused an action. */
};

/* The longest that a lease of hold_us on a clock which may differ by 1% can
   last on the own clock. */
static int64_t
certain_hold (const struct cell *c)
{
  return c->options.hold_us + c->options.hold_us / 100 + 1;
}

static int
majority (int count)
{
  return count / 2 + 1;
}

/* Members that are enough to keep the others from any majority. */
static int
blocking (int count)
{
  return count - majority (count) + 1;
}

static const struct cell_member *
member_by_id (const struct cell_member *list, int count, uint64_t id)
{
  for (int i = 0; i < count; i++)
    if (list[i].id == id)
      return &list[i];
  return NULL;
}

static const struct cell_member *
member_by_name (const struct cell_member *list, int count, const char *name)
{
  for (int i = 0; i < count; i++)
    if (strcmp (list[i].name, name) == 0)
      return &list[i];
  return NULL;
}

static const struct cell_member *
member_of (const struct cell *c, uint64_t id)
{
  return member_by_id (c->record.members, c->record.member_count, id);
}

static struct peer *
peer_find (struct cell *c, uint64_t id)
{
  for (int i = 0; i < PEERS_MAX; i++)
    if (c->peers[i].member.id == id)
      return &c->peers[i];
  return NULL;
}

static int64_t
max_time (int64_t a, int64_t b)
{
  return a > b ? a : b;
}

static int64_t
last_sign (const struct peer *p)
{
  return max_time (max_time (p->heard_at, p->join_last), p->grace_at);
}

/* Entry for a process, replacing the one that was silent for longest. */
static struct peer *
peer_add (struct cell *c, uint64_t id)
{
  struct peer *oldest = NULL;
  struct peer *p = peer_find (c, id);
  if (p != NULL)
    return p;
  for (int i = 0; i < PEERS_MAX; i++)
    {
      p = &c->peers[i];
      if (p->member.id != 0 && member_of (c, p->member.id) != NULL)
        continue;
      if (oldest == NULL || last_sign (p) < last_sign (oldest))
        oldest = p;
    }
  if (oldest->member.id != 0)
    c->outsider_at = max_time (c->outsider_at, oldest->confirmed_at);
  memset (oldest, 0, sizeof *oldest);
  oldest->member.id = id;
  oldest->heard_at = NEVER;
  oldest->grace_at = NEVER;
  oldest->sent_at = NEVER;
  oldest->confirmed_at = NEVER;
  oldest->join_last = NEVER;
  oldest->outsider_at = NEVER;
  return oldest;
}

static bool
is_self (const struct cell *c, uint64_t id)
{
  return id == c->options.self.id;
}

/* Whether more than @p span passed since @p at, which may be NEVER. */
static bool
is_past (int64_t at, int64_t span, int64_t now)
{
  return at == NEVER || now - at > span;
}

static bool
is_live (const struct cell *c, const struct peer *p, int64_t now)
{
  return !is_past (p->heard_at, c->options.dead_after_us, now);
}

static bool
is_silent (const struct cell *c, const struct peer *p, int64_t now)
{
  /* A process that announced its end is not waited for as long. */
  int64_t limit = p->leaving ? c->options.heartbeat_us * 3 / 2
                             : c->options.dead_after_us;
  if (limit > c->options.dead_after_us)
    limit = c->options.dead_after_us;
  return is_past (max_time (p->heard_at, p->grace_at), limit, now);
}

static bool
is_gone (const struct cell *c, const char *name)
{
  for (int i = 0; i < GONE_MAX; i++)
    if (c->gone[i][0] != '\0' && strcmp (c->gone[i], name) == 0)
      return true;
  return false;
}

static void
clear_gone (struct cell *c, const char *name)
{
  for (int i = 0; i < GONE_MAX; i++)
    if (strcmp (c->gone[i], name) == 0)
      c->gone[i][0] = '\0';
}

/* A process that asks to join and whose requests are current. */
static bool
is_candidate (const struct cell *c, const struct peer *p, int64_t now)
{
  return p->member.id != 0 && p->joins >= JOINS_NEEDED
         && member_of (c, p->member.id) == NULL
         && !is_past (p->join_last, c->options.dead_after_us, now);
}

/* The candidate that runs on the VM of member @p m in its place. */
static struct peer *
successor_of (struct cell *c, const struct cell_member *m, int64_t now)
{
  const struct peer *old = peer_find (c, m->id);
  for (int i = 0; i < PEERS_MAX; i++)
    {
      struct peer *p = &c->peers[i];
      if (is_candidate (c, p, now) && p->member.id != m->id
          && strcmp (p->member.name, m->name) == 0
          && (old == NULL || old->heard_at < p->join_first))
        return p;
    }
  return NULL;
}

struct cell *
cell_create (void *parent, const struct cell_options *options, int64_t now)
{
  struct cell *c = talloc_zero (parent, struct cell);
  c->options = *options;
  c->created_at = now;
  c->last_next = now;
  c->alone_since = now;
  c->outsider_at = NEVER;
  c->blocked_at = NEVER;
  c->reported_at = NEVER;
  c->wanted_since = NEVER;
  c->next_tick = now;
  c->read_due = true;
  c->next_read = now;
  c->next_proposal = now;
  for (int i = 0; i < PEERS_MAX; i++)
    c->peers[i].heard_at = c->peers[i].join_last = c->peers[i].grace_at
        = c->peers[i].confirmed_at = NEVER;
  return c;
}

static void
adopt (struct cell *c, const struct cell_record *r, int64_t now)
{
  const struct cell_member *was = member_of (c, c->options.self.id);
  const struct cell_member *is
      = member_by_id (r->members, r->member_count, c->options.self.id);
  bool keep = was != NULL && is != NULL && was->join_op == is->join_op;
  c->adopt_keep = keep && (!c->adopt_due || c->adopt_keep);
  c->adopt_due = true;
  if (was != NULL && is == NULL)
    c->alone_since = now;
  struct cell_record before = c->record;
  c->record = *r;
  for (int i = 0; i < r->member_count; i++)
    {
      const struct cell_member *m = &r->members[i];
      struct peer *p = peer_add (c, m->id);
      if (member_by_id (before.members, before.member_count, m->id) == NULL)
        p->grace_at = now;
      p->member = *m;
      p->joins = 0;
      c->members[i] = p;
    }
  for (int i = 0; i < r->previous_count; i++)
    peer_add (c, r->previous[i].id)->member = r->previous[i];
  for (int i = 0; i < PEERS_MAX; i++)
    c->peers[i].due = 0;
  c->adopted_at = now;
  c->allotting = false;
  c->blocked_at = NEVER;
  c->reported_at = NEVER;
  c->wanted_since = NEVER;
  c->updating = false;
  /* Peers learn the version from the heartbeat. */
  c->next_tick = now;
}

void
cell_on_record (struct cell *c, const struct cell_record *r, int64_t now)
{
  c->known = true;
  c->dirty = true;
  /* A record that is no newer answers the question whether a lost update
     took effect; the conditional update makes a late one harmless. */
  c->updating = false;
  if (r->version > c->record.version)
    adopt (c, r, now);
  if (c->record.version >= c->read_version)
    c->read_due = false;
}

static void
want_read (struct cell *c, uint64_t version, int64_t now)
{
  c->dirty = true;
  if (!c->read_due)
    c->next_read = max_time (now, c->next_read);
  c->read_due = true;
  if (version > c->read_version)
    c->read_version = version;
}

void
cell_on_update (struct cell *c, int result, uint64_t version, int64_t now)
{
  if (!c->updating)
    return;
  c->updating = false;
  c->dirty = true;
  if (result == 0 && version > c->record.version)
    {
      struct cell_record done = c->proposed;
      done.version = version;
      adopt (c, &done, now);
    }
  else
    want_read (c, 0, now);
}

void
cell_on_heartbeat (struct cell *c, const struct cell_heartbeat *h, int64_t now)
{
  if (is_self (c, h->from) || h->from == 0)
    return;
  struct peer *p = peer_add (c, h->from);
  /* An echo counts from its own send time, so an old one does no harm; one
     from the future or from before this process is not an echo. */
  if (h->echo > p->echo && h->echo >= c->created_at && h->echo <= now)
    p->echo = h->echo;
  if (h->sent_at <= p->sent_at)
    return;
  p->sent_at = h->sent_at;
  p->heard_at = now;
  p->version = h->version;
  p->settled = h->settled;
  p->leaving = h->leaving;
  p->silent_count = h->silent_count;
  memcpy (p->silent, h->silent, sizeof p->silent);
  if (p->member.name[0] != '\0')
    clear_gone (c, p->member.name);
  if (h->version >= c->record.version)
    p->confirmed_at = now;
  else if (member_of (c, h->from) == NULL)
    {
      /* It does not know that it was removed. */
      p->due |= DUE_FREEZE;
      c->dirty = true;
    }
  if (h->version > c->record.version)
    want_read (c, h->version, now);
}

void
cell_on_join (struct cell *c, const struct cell_member *m, uint64_t version,
              int64_t now)
{
  if (m->id == 0 || is_self (c, m->id) || member_of (c, m->id) != NULL)
    return;
  struct peer *p = peer_add (c, m->id);
  if (p->joins == 0 || is_past (p->join_last, c->options.dead_after_us, now))
    {
      p->joins = 0;
      p->join_first = now;
    }
  p->member = *m;
  p->joins++;
  p->join_last = now;
  /* A removed process that knows this version confirms nobody of an older
     one any more. */
  if (version > p->version)
    p->version = version;
  clear_gone (c, m->name);
}

void
cell_on_holdings (struct cell *c, uint64_t member, uint64_t version,
                  int64_t outsider_age_us, int64_t now)
{
  struct peer *p = peer_find (c, member);
  if (p == NULL || version != c->record.version
      || c->record.coordinator != c->options.self.id
      || member_of (c, member) == NULL || p->reported == version)
    return;
  p->reported = version;
  p->version = version;
  /* The member's clock may run up to 1% fast. */
  int64_t age = outsider_age_us - outsider_age_us / 100 - 1;
  p->outsider_at = now - (age > 0 ? age : 0);
  c->reported_at = now;
  c->dirty = true;
}

void
cell_on_allot (struct cell *c, uint64_t version, int64_t now)
{
  if (version != c->record.version || c->settled == version)
    return;
  c->settled = version;
  c->dirty = true;
  /* The coordinator stops repeating the allotment when it hears this. */
  c->next_tick = now;
}

void
cell_on_vm_gone (struct cell *c, const char *name, int64_t now)
{
  int slot = 0;
  if (strcmp (name, c->options.self.name) == 0 || is_gone (c, name))
    return;
  for (int i = 0; i < GONE_MAX; i++)
    {
      if (c->gone[i][0] == '\0')
        {
          slot = i;
          break;
        }
      if (c->gone_at[i] < c->gone_at[slot])
        slot = i;
    }
  memset (c->gone[slot], 0, sizeof c->gone[slot]);
  memcpy (c->gone[slot], name, strnlen (name, sizeof c->gone[slot] - 1));
  c->gone_at[slot] = now;
}

void
cell_set_leaving (struct cell *c, bool leaving)
{
  c->leaving = leaving;
}

bool
cell_is_member (const struct cell *c)
{
  return member_of (c, c->options.self.id) != NULL;
}

const struct cell_record *
cell_record (const struct cell *c)
{
  return &c->record;
}

const struct cell_member *
cell_find (const struct cell *c, uint64_t id)
{
  const struct cell_member *m = member_of (c, id);
  for (int i = 0; m == NULL && i < PEERS_MAX; i++)
    if (c->peers[i].member.id == id && c->peers[i].member.address[0] != '\0')
      m = &c->peers[i].member;
  return m;
}

bool
cell_lease_valid (const struct cell *c, int64_t now)
{
  int echoes = 0;
  if (!cell_is_member (c))
    return false;
  for (int i = 0; i < c->record.member_count; i++)
    {
      const struct peer *p = c->members[i];
      if (is_self (c, p->member.id)
          || (p->echo != 0 && now < p->echo + c->options.hold_us))
        echoes++;
    }
  return echoes >= majority (c->record.member_count);
}

int
cell_live_members (const struct cell *c, uint64_t *ids, int64_t now)
{
  int count = 0;
  for (int i = 0; i < c->record.member_count; i++)
    {
      const struct peer *p = c->members[i];
      if (is_self (c, p->member.id) || is_live (c, p, now))
        ids[count++] = p->member.id;
    }
  return count;
}

static int64_t
outsider_at (const struct cell *c)
{
  int64_t at = c->outsider_at;
  for (int i = 0; i < PEERS_MAX; i++)
    {
      const struct peer *p = &c->peers[i];
      if (p->member.id != 0 && member_of (c, p->member.id) == NULL)
        at = max_time (at, p->confirmed_at);
    }
  return at;
}

int64_t
cell_outsider_age (const struct cell *c, int64_t now)
{
  int64_t at = outsider_at (c);
  if (at == NEVER)
    return 2 * c->options.hold_us;
  return now > at ? now - at : 0;
}

/* Whether enough members of the list before the current one have moved on,
   or have ended, that no lease under that list can be renewed. */
static bool
previous_is_blocked (struct cell *c, int64_t now)
{
  const struct cell_record *r = &c->record;
  int moved = 0;
  if (r->previous_count == 0 || c->settled == r->version)
    return true;
  for (int i = 0; i < r->previous_count; i++)
    {
      const struct cell_member *m = &r->previous[i];
      const struct peer *p = peer_find (c, m->id);
      const struct cell_member *now_there
          = member_by_name (r->members, r->member_count, m->name);
      if (is_self (c, m->id) || strcmp (m->name, c->options.self.name) == 0
          || (now_there != NULL && now_there->id != m->id)
          || (p != NULL && p->version >= r->version) || is_gone (c, m->name)
          || successor_of (c, m, now) != NULL)
        moved++;
    }
  return moved >= blocking (r->previous_count);
}

/* Whether all holdings of the current version are final: every member
   reported, and the lease of every process that is no member has ended.  */
static bool
holdings_are_final (struct cell *c, int64_t now)
{
  const struct cell_record *r = &c->record;
  int64_t outsider = outsider_at (c);
  int survivors = 0;
  for (int i = 0; i < r->member_count; i++)
    {
      uint64_t id = r->members[i].id;
      const struct peer *p = c->members[i];
      bool survivor = member_by_id (r->previous, r->previous_count, id);
      if (!is_self (c, id) && p->reported != r->version)
        return false;
      survivors += survivor;
      if (survivor && !is_self (c, id))
        outsider = max_time (outsider, p->outsider_at);
    }
  if (!previous_is_blocked (c, now))
    return false;
  if (c->blocked_at == NEVER)
    c->blocked_at = now;
  if (r->previous_count == 0)
    return true;
  /* The survivors alone keep the removed members from a majority, and no
     older list matters: the lease of a removed member counts from a
     heartbeat that a survivor confirmed. */
  if (r->previous_settled && survivors >= blocking (r->previous_count))
    return outsider == NEVER || now >= outsider + certain_hold (c);
  int64_t since
      = max_time (max_time (c->blocked_at, c->reported_at), c->adopted_at);
  return now >= since + certain_hold (c);
}

/* Whether most of the members that are heard lost contact with @p id. */
static bool
is_agreed_silent (struct cell *c, uint64_t id, int64_t now)
{
  int voters = 1, votes = 1;
  for (int i = 0; i < c->record.member_count; i++)
    {
      uint64_t other = c->record.members[i].id;
      const struct peer *p = c->members[i];
      if (is_self (c, other) || other == id || !is_live (c, p, now))
        continue;
      voters++;
      for (int k = 0; k < p->silent_count && k < CELL_MAX_MEMBERS; k++)
        if (p->silent[k] == id)
          {
            votes++;
            break;
          }
    }
  return voters >= blocking (c->record.member_count) && votes * 2 > voters;
}

/* Whether it is time to remove a silent member.  Its part is allotted when its
 * lease has ended, not earlier, and no tokens move between the update and the
 * allotment; so the update waits until shortly before.  If the current version
 * is not settled, tokens do not move anyway. */
static bool
is_lease_ending (const struct cell *c, const struct peer *p, int64_t now)
{
  return c->settled != c->record.version || p->heard_at == NEVER
         || now >= p->heard_at + certain_hold (c)
                       - c->options.heartbeat_us / 10;
}

static void
list_add (struct cell_record *r, const struct cell_member *m, uint64_t op)
{
  struct cell_member *added = &r->members[r->member_count++];
  *added = *m;
  added->join_op = op;
}

enum change
{
  CHANGE_NONE,
  CHANGE_JOIN,  /* Members only join. */
  CHANGE_REMOVE /* Members are removed or replaced. */
};

/* The member list that this member would write. */
static enum change
desired_list (struct cell *c, struct cell_record *next, uint64_t op,
              int64_t now)
{
  const struct cell_record *r = &c->record;
  enum change change = CHANGE_NONE;
  bool quiet = c->settled == r->version
               || now > c->adopted_at + 2 * c->options.hold_us;
  for (int i = 0; i < r->member_count; i++)
    {
      const struct cell_member *m = &r->members[i];
      const struct peer *p = c->members[i];
      const struct peer *successor = NULL;
      if (!is_self (c, m->id))
        successor = successor_of (c, m, now);
      if (successor != NULL)
        list_add (next, &successor->member, op);
      else if (is_self (c, m->id) || !is_silent (c, p, now)
               || !is_lease_ending (c, p, now)
               || !(is_gone (c, m->name) || is_agreed_silent (c, m->id, now)))
        next->members[next->member_count++] = *m;
      else
        {
          change = CHANGE_REMOVE;
          continue;
        }
      if (successor != NULL)
        change = CHANGE_REMOVE;
    }
  /* Joining freezes the cell, so joins are collected while a change is
     being settled. */
  for (int i = 0; i < PEERS_MAX && (quiet || change != CHANGE_NONE); i++)
    {
      const struct peer *p = &c->peers[i];
      if (next->member_count < CELL_MAX_MEMBERS && is_candidate (c, p, now)
          && member_by_name (next->members, next->member_count, p->member.name)
                 == NULL)
        {
          list_add (next, &p->member, op);
          if (change == CHANGE_NONE)
            change = CHANGE_JOIN;
        }
    }
  return change;
}

/* The list with which a process that hears no member adds itself.  It takes
 * the place of its predecessor on the same VM or of a VM that is gone; it
 * removes nobody else, since it may be the one that is cut off. */
static bool
takeover_list (struct cell *c, struct cell_record *next, uint64_t op)
{
  const struct cell_record *r = &c->record;
  for (int i = 0; i < r->member_count; i++)
    if (strcmp (r->members[i].name, c->options.self.name) != 0
        && !is_gone (c, r->members[i].name))
      next->members[next->member_count++] = r->members[i];
  if (next->member_count == CELL_MAX_MEMBERS)
    return false;
  list_add (next, &c->options.self, op);
  return true;
}

/* Live members listed before this one, which propose first. */
static int
own_rank (struct cell *c, int64_t now)
{
  int rank = 0;
  for (int i = 0; i < c->record.member_count; i++)
    {
      uint64_t id = c->record.members[i].id;
      if (is_self (c, id))
        break;
      const struct peer *p = c->members[i];
      rank += is_live (c, p, now) && !p->leaving;
    }
  return rank;
}

/* Time without a word from a member after which a process adds itself. */
static int64_t
takeover_delay (struct cell *c, int64_t now)
{
  bool ended = true;
  for (int i = 0; i < c->record.member_count; i++)
    {
      const struct cell_member *m = &c->record.members[i];
      ended = ended
              && (strcmp (m->name, c->options.self.name) == 0
                  || is_gone (c, m->name) || successor_of (c, m, now) != NULL);
    }
  /* Includes an empty list: there is nobody to wait for. */
  if (ended)
    return c->takeover_us;
  return c->options.dead_after_us + certain_hold (c) + c->takeover_us;
}

static bool
propose (struct cell *c, int64_t now, uint64_t op, struct cell_record *next)
{
  bool member = cell_is_member (c);
  memset (next, 0, sizeof *next);
  if (!c->known || c->leaving || now < c->next_proposal)
    return false;
  if (!member && now < c->alone_since + takeover_delay (c, now))
    return false;
  enum change change = CHANGE_REMOVE;
  if (member)
    change = desired_list (c, next, op, now);
  else if (!takeover_list (c, next, op))
    change = CHANGE_NONE;
  if (change == CHANGE_NONE)
    {
      c->wanted_since = NEVER;
      return false;
    }
  if (c->wanted_since == NEVER)
    c->wanted_since = now;
  /* Each change stops the moving of fractions for a moment, so processes
     that start together are added together. */
  int turns = change == CHANGE_JOIN ? 1 : 0;
  if (member)
    turns += own_rank (c, now);
  if (now < c->wanted_since + turns * c->options.heartbeat_us)
    return false;
  /* Lists older than the one before must not matter any more. */
  if (!previous_is_blocked (c, now))
    return false;
  if (!member && c->record.version != 0)
    {
      c->takeover_us = c->takeover_us * 2 + c->options.hold_us;
      if (c->takeover_us > TAKEOVER_MAX_US)
        c->takeover_us = TAKEOVER_MAX_US;
      c->alone_since = now;
    }
  next->version = c->record.version;
  next->op = op;
  next->coordinator = c->options.self.id;
  next->previous_settled = c->settled == c->record.version;
  next->previous_count = c->record.member_count;
  memcpy (next->previous, c->record.members, sizeof next->previous);
  return true;
}

static void
fill_heartbeat (const struct cell *c, const struct peer *p, int64_t now,
                struct cell_heartbeat *h)
{
  memset (h, 0, sizeof *h);
  h->from = c->options.self.id;
  h->version = c->record.version;
  h->settled = c->settled;
  h->sent_at = now;
  h->leaving = c->leaving;
  /* A restarted process does not know what its predecessor confirmed; a
     process of an older version must run into its lease's end. */
  if (now >= c->created_at + certain_hold (c) && p->sent_at != NEVER
      && p->version >= c->record.version)
    h->echo = p->sent_at;
  for (int i = 0; i < c->record.member_count; i++)
    {
      uint64_t id = c->record.members[i].id;
      if (!is_self (c, id) && is_silent (c, c->members[i], now))
        h->silent[h->silent_count++] = id;
    }
}

/* Mark what is sent to each peer now. */
static void
mark_due (struct cell *c, int64_t now)
{
  bool member = cell_is_member (c);
  bool coordinates = member && c->record.coordinator == c->options.self.id;
  for (int i = 0; i < PEERS_MAX; i++)
    {
      struct peer *p = &c->peers[i];
      if (p->member.id == 0 || is_self (c, p->member.id))
        continue;
      bool other = member_of (c, p->member.id) != NULL;
      if (member && (other || is_candidate (c, p, now)))
        p->due |= DUE_HEARTBEAT;
      if (!member && other && !c->leaving)
        p->due |= DUE_JOIN;
      if (coordinates && other && p->reported != c->record.version)
        p->due |= DUE_FREEZE;
      if (c->allotting && other && p->settled != c->record.version)
        p->due |= DUE_ALLOT;
    }
}

static bool
take_due (struct cell *c, int64_t now, struct cell_action *action)
{
  static const enum cell_action_kind kinds[]
      = { CELL_SEND_HEARTBEAT, CELL_SEND_JOIN, CELL_FREEZE, CELL_ALLOT };
  for (int i = 0; i < PEERS_MAX; i++)
    for (int k = 0; k < 4; k++)
      {
        struct peer *p = &c->peers[i];
        if (p->member.id == 0 || (p->due & (1U << k)) == 0)
          continue;
        p->due &= ~(1U << k);
        action->kind = kinds[k];
        action->member = p->member.id;
        action->version = c->record.version;
        if (kinds[k] == CELL_SEND_HEARTBEAT)
          fill_heartbeat (c, p, now, &action->heartbeat);
        if (kinds[k] == CELL_SEND_JOIN)
          action->self = c->options.self;
        if (kinds[k] == CELL_FREEZE)
          action->record = c->record;
        return true;
      }
  return false;
}

/* Start the allotment once.
 * @return whether this member's own one is to be applied. */
static bool
start_allotment (struct cell *c, int64_t now)
{
  if (c->allotting || !cell_is_member (c)
      || c->record.coordinator != c->options.self.id
      || c->settled == c->record.version || !holdings_are_final (c, now))
    return false;
  c->allotting = true;
  mark_due (c, now);
  return true;
}

static void
notice_time (struct cell *c, int64_t now)
{
  /* After a pause of this process every peer seems silent. */
  if (now - c->last_next > c->options.heartbeat_us)
    for (int i = 0; i < PEERS_MAX; i++)
      if (c->peers[i].member.id != 0)
        c->peers[i].grace_at = now;
  c->last_next = now;
  if (c->updating && now - c->update_at > PLATFORM_TIMEOUT_US)
    cell_on_update (c, 2, 0, now);
  /* A process that hears a member is added by it. */
  uint64_t live[CELL_MAX_MEMBERS];
  if (!cell_is_member (c) && cell_live_members (c, live, now) > 0)
    c->alone_since = now;
}

static unsigned
silent_members (const struct cell *c, int64_t now)
{
  unsigned mask = 0;
  for (int i = 0; i < c->record.member_count; i++)
    if (!is_self (c, c->record.members[i].id)
        && is_silent (c, c->members[i], now))
      mask |= 1U << i;
  return mask;
}

bool
cell_next (struct cell *c, int64_t now, uint64_t op,
           struct cell_action *action)
{
  bool skip = !c->dirty && now < c->next_check && now < c->next_tick;
  if (skip && now - c->last_next <= c->options.heartbeat_us)
    {
      c->last_next = now;
      return false;
    }
  c->dirty = true;
  c->next_check = now + CHECK_US;
  memset (action, 0, sizeof *action);
  notice_time (c, now);
  if (c->adopt_due)
    {
      c->adopt_due = false;
      action->kind = CELL_ADOPT;
      action->version = c->record.version;
      action->keep = c->adopt_keep;
      action->record = c->record;
      return true;
    }
  unsigned silent = silent_members (c, now);
  /* Removal needs the views of most members, so a new one is sent at once. */
  if (silent & ~c->silent)
    c->next_tick = now;
  c->silent = silent;
  if (now >= c->next_tick)
    {
      c->next_tick = now + c->options.heartbeat_us;
      mark_due (c, now);
    }
  if (start_allotment (c, now))
    {
      action->kind = CELL_ALLOT;
      action->member = c->options.self.id;
      action->version = c->record.version;
      return true;
    }
  if (take_due (c, now, action))
    return true;
  if (c->read_due && now >= c->next_read)
    {
      c->next_read = now + c->options.heartbeat_us;
      action->kind = CELL_READ;
      return true;
    }
  if (!c->updating && propose (c, now, op, &action->record))
    {
      c->updating = true;
      c->update_at = now;
      c->proposed = action->record;
      c->next_proposal = now + c->options.heartbeat_us;
      action->kind = CELL_UPDATE;
      action->version = action->record.version;
      return true;
    }
  c->dirty = false;
  return false;
}
