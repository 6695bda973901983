#include "core/cell.h"

#include <stdlib.h>

/* Most members, removed members and candidates known at the same time. */
#define PEERS_MAX (4 * CELL_MAX_MEMBERS)
/* Most names of removed VMs that are kept. */
#define GONE_MAX (2 * CELL_MAX_MEMBERS)
/* A time before any other, for events that did not happen yet. */
#define NEVER INT64_MIN

/* Interval at which conditions that depend on time alone are checked. */
#define CHECK_US 50000

/* Time after which an update without an answer counts as lost: the platform
   answers in milliseconds. */
#define PLATFORM_TIMEOUT_US 2000000

/* Join requests after which a process becomes a candidate, so that one delayed
   request of an ended process does not replace its successor. */
#define JOINS_NEEDED 2

/* Largest backoff of a process that adds itself to a cell from which it
   receives nothing, so that an isolated process does not freeze the others
   again and again. */
#define TAKEOVER_BACKOFF_MAX_US 60000000

/** Bits of the messages that are due to a peer, in the order of kinds in
 * take_due_message. */
enum due_message
{
  DUE_HEARTBEAT = 1,
  DUE_JOIN = 2,
  DUE_FREEZE = 4,
  DUE_ALLOT = 8
};

/** What this process knows of another process.  The entry of this process
 * itself in the member list is one too. */
struct peer
{
  struct cell_member member; /**< Its identity; id 0: unused entry. */
  int64_t heartbeat_at;      /**< When the newest heartbeat arrived. */
  int64_t grace_at;     /**< Earliest time from which its silence counts. */
  int64_t sent_at;      /**< Send time of its newest heartbeat, on the peer's
                           clock. */
  uint64_t version;     /**< Version that it last reported to use. */
  int64_t confirmed_at; /**< When the newest heartbeat arrived that an echo may
                           confirm. */
  int64_t echo;         /**< Own send time that the peer confirmed; 0: none. */
  uint64_t settled;     /**< Version whose allotment it applied. */
  bool leaving;
  int silent_count; /**< Members that are silent in the peer's view. */
  uint64_t silent[CELL_MAX_MEMBERS];
  int join_count; /**< Join requests in a row. */
  int64_t first_join_at, last_join_at;
  uint64_t holdings_version; /**< Version of the last holdings it reported. */
  /** Latest time at which it may have confirmed a process outside the record,
   * as reported with its holdings, on the own clock. */
  int64_t nonmember_echo_at;
  unsigned due; /**< Set of enum due_message. */
};

struct cell
{
  struct cell_options options;
  struct cell_record record;   /**< Newest known version of the object. */
  struct cell_record proposed; /**< Content of the last update. */
  /** When this process started, and when it adopted the current record. */
  int64_t created_at, adopted_at;
  int64_t last_call_at;      /**< Last call of cell_next_action. */
  int64_t next_heartbeat_at; /**< When the messages to peers are next due. */
  int64_t next_check_at;
  unsigned silent_mask; /**< Bit per member that was silent at the last
                           check. */
  /** Latest value of confirmed_at in peer entries that were replaced. */
  int64_t nonmember_echo_at;
  uint64_t settled;      /**< Newest version whose allotment was applied. */
  uint64_t read_version; /**< Newest version that a peer uses; the object is
                            read until it is known. */
  int64_t next_read_at;
  int64_t update_at; /**< When the last update was sent. */
  int64_t next_proposal_at;
  int64_t change_wanted_since; /**< NEVER: no change of the list is wanted. */
  int64_t takeover_backoff_us;
  int64_t isolated_since; /**< Since when this process is no member and
                             receives nothing from members. */
  /** When previous_is_blocked became true and when the last holdings arrived,
   * for the current version. */
  int64_t blocked_at, reported_at;
  struct peer peers[PEERS_MAX];
  struct peer *members[CELL_MAX_MEMBERS]; /**< Entries of the members, in the
                                             order of the record. */
  /** Names of VMs that the platform removed, and when. */
  int64_t gone_at[GONE_MAX];
  char gone_names[GONE_MAX][64];
  bool record_known; /**< The platform or a peer sent the record, or said that
                        there is none. */
  bool leaving;
  bool adopt_due, adopt_keep; /**< CELL_ADOPT is due, and its keep. */
  bool read_due;              /**< The object is to be read. */
  bool updating;              /**< An update was sent and not answered yet. */
  bool allotting; /**< This coordinator sends the allotment of this version. */
  bool dirty;     /**< An event may have caused an action. */
};

/* Longest time on the own clock that a lease of member_lease_us on another
   member's clock can last, if the clocks differ by at most 1%. */
static int64_t
max_lease_us (const struct cell *c)
{
  return c->options.member_lease_us + c->options.member_lease_us / 100 + 1;
}

static int
majority (int count)
{
  return count / 2 + 1;
}

/* Smallest number of members without which the others have no majority. */
static int
blocking_count (int count)
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
find_member (const struct cell *c, uint64_t id)
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

/* When anything last arrived from the peer. */
static int64_t
last_received_at (const struct peer *p)
{
  return max_time (max_time (p->heartbeat_at, p->last_join_at), p->grace_at);
}

/* Find the entry of a process, or create it in place of the entry of the
   process outside the record that was silent for longest. */
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
      if (p->member.id != 0 && find_member (c, p->member.id) != NULL)
        continue;
      if (oldest == NULL || last_received_at (p) < last_received_at (oldest))
        oldest = p;
    }
  if (oldest->member.id != 0)
    c->nonmember_echo_at
        = max_time (c->nonmember_echo_at, oldest->confirmed_at);
  memset (oldest, 0, sizeof *oldest);
  oldest->member.id = id;
  oldest->heartbeat_at = NEVER;
  oldest->grace_at = NEVER;
  oldest->sent_at = NEVER;
  oldest->confirmed_at = NEVER;
  oldest->last_join_at = NEVER;
  oldest->nonmember_echo_at = NEVER;
  return oldest;
}

static bool
is_self (const struct cell *c, uint64_t id)
{
  return id == c->options.self.id;
}

/* Whether more than @p span passed since @p at; true if that is NEVER. */
static bool
has_passed (int64_t at, int64_t span, int64_t now)
{
  return at == NEVER || now - at > span;
}

/* Whether a heartbeat of the peer arrived within dead_after_us. */
static bool
is_live (const struct cell *c, const struct peer *p, int64_t now)
{
  return !has_passed (p->heartbeat_at, c->options.dead_after_us, now);
}

/* Whether the peer's heartbeats are missing for so long that this process
   votes for its removal. */
static bool
is_silent (const struct cell *c, const struct peer *p, int64_t now)
{
  /* A process that announced that it leaves is silent earlier. */
  int64_t limit = p->leaving ? c->options.heartbeat_us * 3 / 2
                             : c->options.dead_after_us;
  if (limit > c->options.dead_after_us)
    limit = c->options.dead_after_us;
  return has_passed (max_time (p->heartbeat_at, p->grace_at), limit, now);
}

/* Whether the platform removed the VM of this name. */
static bool
vm_is_gone (const struct cell *c, const char *name)
{
  for (int i = 0; i < GONE_MAX; i++)
    if (c->gone_names[i][0] != '\0' && strcmp (c->gone_names[i], name) == 0)
      return true;
  return false;
}

static void
forget_vm_gone (struct cell *c, const char *name)
{
  for (int i = 0; i < GONE_MAX; i++)
    if (strcmp (c->gone_names[i], name) == 0)
      c->gone_names[i][0] = '\0';
}

/* Whether the process is not a member, sent at least JOINS_NEEDED join
   requests in a row, and sent the newest within dead_after_us. */
static bool
is_candidate (const struct cell *c, const struct peer *p, int64_t now)
{
  return p->member.id != 0 && p->join_count >= JOINS_NEEDED
         && find_member (c, p->member.id) == NULL
         && !has_passed (p->last_join_at, c->options.dead_after_us, now);
}

/* Find the candidate that runs on the VM of member @p m in its place. */
static struct peer *
successor_of (struct cell *c, const struct cell_member *m, int64_t now)
{
  const struct peer *old = peer_find (c, m->id);
  for (int i = 0; i < PEERS_MAX; i++)
    {
      struct peer *p = &c->peers[i];
      if (is_candidate (c, p, now) && p->member.id != m->id
          && strcmp (p->member.name, m->name) == 0
          && (old == NULL || old->heartbeat_at < p->first_join_at))
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
  c->last_call_at = now;
  c->isolated_since = now;
  c->nonmember_echo_at = NEVER;
  c->blocked_at = NEVER;
  c->reported_at = NEVER;
  c->change_wanted_since = NEVER;
  c->next_heartbeat_at = now;
  c->read_due = true;
  c->next_read_at = now;
  c->next_proposal_at = now;
  for (int i = 0; i < PEERS_MAX; i++)
    c->peers[i].heartbeat_at = c->peers[i].last_join_at = c->peers[i].grace_at
        = c->peers[i].confirmed_at = NEVER;
  return c;
}

/* Use @p r as the member list. */
static void
adopt (struct cell *c, const struct cell_record *r, int64_t now)
{
  const struct cell_member *own_before = find_member (c, c->options.self.id);
  const struct cell_member *own_now
      = member_by_id (r->members, r->member_count, c->options.self.id);
  bool keep = own_before != NULL && own_now != NULL
              && own_before->join_op == own_now->join_op;
  c->adopt_keep = keep && (!c->adopt_due || c->adopt_keep);
  c->adopt_due = true;
  if (own_before != NULL && own_now == NULL)
    c->isolated_since = now;
  struct cell_record previous_record = c->record;
  c->record = *r;
  for (int i = 0; i < r->member_count; i++)
    {
      const struct cell_member *m = &r->members[i];
      struct peer *p = peer_add (c, m->id);
      if (member_by_id (previous_record.members, previous_record.member_count,
                        m->id)
          == NULL)
        p->grace_at = now;
      p->member = *m;
      p->join_count = 0;
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
  c->change_wanted_since = NEVER;
  c->updating = false;
  /* Send heartbeats at once: peers learn of the version from them. */
  c->next_heartbeat_at = now;
}

void
cell_on_record (struct cell *c, const struct cell_record *r, int64_t now)
{
  c->record_known = true;
  c->dirty = true;
  /* Reading a record that is no newer shows that a lost update did not take
     effect.  If that update arrives later, it does no harm, because it is
     conditional on the version. */
  c->updating = false;
  if (r->version > c->record.version)
    adopt (c, r, now);
  if (c->record.version >= c->read_version)
    c->read_due = false;
}

/* Ask for the object to be read, until @p version or a newer one is known. */
static void
request_read (struct cell *c, uint64_t version, int64_t now)
{
  c->dirty = true;
  if (!c->read_due)
    c->next_read_at = max_time (now, c->next_read_at);
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
      struct cell_record written = c->proposed;
      written.version = version;
      adopt (c, &written, now);
    }
  else
    request_read (c, 0, now);
}

void
cell_on_heartbeat (struct cell *c, const struct cell_heartbeat *h, int64_t now)
{
  if (is_self (c, h->from) || h->from == 0)
    return;
  struct peer *p = peer_add (c, h->from);
  /* A lease counts from the send time in the echo, so an old echo does no
     harm.  A time in the future or before this process started cannot be the
     echo of its heartbeat.  That of an earlier process can be between them, as
     the clock starts anew with the VM. */
  if (is_self (c, h->to) && h->echo > p->echo && h->echo >= c->created_at
      && h->echo <= now)
    p->echo = h->echo;
  if (h->sent_at <= p->sent_at)
    return;
  p->sent_at = h->sent_at;
  p->heartbeat_at = now;
  p->version = h->version;
  p->settled = h->settled;
  p->leaving = h->leaving;
  p->silent_count = h->silent_count;
  memcpy (p->silent, h->silent, sizeof p->silent);
  if (p->member.name[0] != '\0')
    forget_vm_gone (c, p->member.name);
  if (h->version >= c->record.version)
    p->confirmed_at = now;
  else if (find_member (c, h->from) == NULL)
    {
      /* The sender does not know that it was removed: send it the record. */
      p->due |= DUE_FREEZE;
      c->dirty = true;
    }
  if (h->version > c->record.version)
    request_read (c, h->version, now);
}

void
cell_on_join (struct cell *c, const struct cell_member *m, uint64_t version,
              int64_t now)
{
  if (m->id == 0 || is_self (c, m->id) || find_member (c, m->id) != NULL)
    return;
  struct peer *p = peer_add (c, m->id);
  if (p->join_count == 0
      || has_passed (p->last_join_at, c->options.dead_after_us, now))
    {
      p->join_count = 0;
      p->first_join_at = now;
    }
  p->member = *m;
  p->join_count++;
  p->last_join_at = now;
  /* A removed process that knows this version no longer confirms processes
     that use an older one. */
  if (version > p->version)
    p->version = version;
  forget_vm_gone (c, m->name);
}

void
cell_on_holdings (struct cell *c, uint64_t member, uint64_t version,
                  int64_t nonmember_echo_age_us, int64_t now)
{
  struct peer *p = peer_find (c, member);
  if (p == NULL || version != c->record.version
      || c->record.coordinator != c->options.self.id
      || find_member (c, member) == NULL || p->holdings_version == version)
    return;
  p->holdings_version = version;
  p->version = version;
  /* The member's clock may run up to 1% faster than the own one. */
  int64_t age = nonmember_echo_age_us - nonmember_echo_age_us / 100 - 1;
  p->nonmember_echo_at = now - (age > 0 ? age : 0);
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
  /* Send a heartbeat at once: the coordinator repeats the allotment until it
     receives it. */
  c->next_heartbeat_at = now;
}

void
cell_on_vm_gone (struct cell *c, const char *name, int64_t now)
{
  int slot = 0;
  if (strcmp (name, c->options.self.name) == 0 || vm_is_gone (c, name))
    return;
  for (int i = 0; i < GONE_MAX; i++)
    {
      if (c->gone_names[i][0] == '\0')
        {
          slot = i;
          break;
        }
      if (c->gone_at[i] < c->gone_at[slot])
        slot = i;
    }
  memset (c->gone_names[slot], 0, sizeof c->gone_names[slot]);
  memcpy (c->gone_names[slot], name,
          strnlen (name, sizeof c->gone_names[slot] - 1));
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
  return find_member (c, c->options.self.id) != NULL;
}

const struct cell_record *
cell_record (const struct cell *c)
{
  return &c->record;
}

const struct cell_member *
cell_find (const struct cell *c, uint64_t id)
{
  const struct cell_member *m = find_member (c, id);
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
          || (p->echo != 0 && now < p->echo + c->options.member_lease_us))
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

/* When the newest heartbeat arrived from a process outside the record whose
   lease this process may have confirmed. */
static int64_t
nonmember_echo_at (const struct cell *c)
{
  int64_t at = c->nonmember_echo_at;
  for (int i = 0; i < PEERS_MAX; i++)
    {
      const struct peer *p = &c->peers[i];
      if (p->member.id != 0 && find_member (c, p->member.id) == NULL)
        at = max_time (at, p->confirmed_at);
    }
  return at;
}

int64_t
cell_nonmember_echo_age (const struct cell *c, int64_t now)
{
  int64_t at = nonmember_echo_at (c);
  if (at == NEVER)
    return 2 * c->options.member_lease_us;
  return now > at ? now - at : 0;
}

/* Whether so many members of the previous list use the current one, or have
   ended, that no lease under the previous list can be renewed. */
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
      const struct cell_member *replacement
          = member_by_name (r->members, r->member_count, m->name);
      if (is_self (c, m->id) || strcmp (m->name, c->options.self.name) == 0
          || (replacement != NULL && replacement->id != m->id)
          || (p != NULL && p->version >= r->version) || vm_is_gone (c, m->name)
          || successor_of (c, m, now) != NULL)
        moved++;
    }
  return moved >= blocking_count (r->previous_count);
}

/* Whether all holdings of the current version are final: every member
   reported its own, and the lease of every process that is not a member has
   ended. */
static bool
holdings_are_final (struct cell *c, int64_t now)
{
  const struct cell_record *r = &c->record;
  int64_t nonmember_at = nonmember_echo_at (c);
  int stayed_count = 0;
  for (int i = 0; i < r->member_count; i++)
    {
      uint64_t id = r->members[i].id;
      const struct peer *p = c->members[i];
      bool stayed = member_by_id (r->previous, r->previous_count, id);
      if (!is_self (c, id) && p->holdings_version != r->version)
        return false;
      stayed_count += stayed;
      if (stayed && !is_self (c, id))
        nonmember_at = max_time (nonmember_at, p->nonmember_echo_at);
    }
  if (!previous_is_blocked (c, now))
    return false;
  if (c->blocked_at == NEVER)
    c->blocked_at = now;
  if (r->previous_count == 0)
    return true;
  /* If the members that stayed are enough to keep the removed ones from a
     majority, and no older list matters, each lease of a removed member counts
     from a heartbeat that one of the members that stayed confirmed. */
  if (r->previous_settled
      && stayed_count >= blocking_count (r->previous_count))
    return nonmember_at == NEVER || now >= nonmember_at + max_lease_us (c);
  int64_t since
      = max_time (max_time (c->blocked_at, c->reported_at), c->adopted_at);
  return now >= since + max_lease_us (c);
}

/* Whether most of the live members, this one included, report the member
   @p id as silent, and enough members are live that the others are no
   majority. */
static bool
most_report_silent (struct cell *c, uint64_t id, int64_t now)
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
  return voters >= blocking_count (c->record.member_count)
         && votes * 2 > voters;
}

/* Whether it is time to remove a silent member.  Its fractions are allotted
   only when its lease has ended, and no tokens move between the update and the
   allotment; so the update waits until shortly before the lease ends.  If the
   current version is not settled, tokens do not move anyway. */
static bool
is_lease_ending (const struct cell *c, const struct peer *p, int64_t now)
{
  return c->settled != c->record.version || p->heartbeat_at == NEVER
         || now >= p->heartbeat_at + max_lease_us (c)
                       - c->options.heartbeat_us / 10;
}

/* Append a member that the update @p op adds. */
static void
list_append (struct cell_record *r, const struct cell_member *m, uint64_t op)
{
  struct cell_member *added = &r->members[r->member_count++];
  *added = *m;
  added->join_op = op;
}

/** How a proposed member list differs from the current one. */
enum change
{
  CHANGE_NONE,
  CHANGE_JOIN,  /**< Members are added only. */
  CHANGE_REMOVE /**< Members are removed or replaced. */
};

/* Build the member list that this member would write.  The list keeps live
   members, replaces restarted ones by their successors, drops silent ones that
   the platform or most members report, and adds candidates. */
static enum change
desired_list (struct cell *c, struct cell_record *next, uint64_t op,
              int64_t now)
{
  const struct cell_record *r = &c->record;
  enum change change = CHANGE_NONE;
  bool may_add = c->settled == r->version
                 || now > c->adopted_at + 2 * c->options.member_lease_us;
  for (int i = 0; i < r->member_count; i++)
    {
      const struct cell_member *m = &r->members[i];
      const struct peer *p = c->members[i];
      const struct peer *successor = NULL;
      if (!is_self (c, m->id))
        successor = successor_of (c, m, now);
      if (successor != NULL)
        list_append (next, &successor->member, op);
      else if (is_self (c, m->id) || !is_silent (c, p, now)
               || !is_lease_ending (c, p, now)
               || !(vm_is_gone (c, m->name)
                    || most_report_silent (c, m->id, now)))
        next->members[next->member_count++] = *m;
      else
        {
          change = CHANGE_REMOVE;
          continue;
        }
      if (successor != NULL)
        change = CHANGE_REMOVE;
    }
  /* Every addition freezes the cell, so candidates are collected until the
     current version is settled or two durations of a lease have passed. */
  for (int i = 0; i < PEERS_MAX && (may_add || change != CHANGE_NONE); i++)
    {
      const struct peer *p = &c->peers[i];
      if (next->member_count < CELL_MAX_MEMBERS && is_candidate (c, p, now)
          && member_by_name (next->members, next->member_count, p->member.name)
                 == NULL)
        {
          list_append (next, &p->member, op);
          if (change == CHANGE_NONE)
            change = CHANGE_JOIN;
        }
    }
  return change;
}

/* Build the list with which a process that receives nothing from any member
   adds itself.  It removes its predecessor on the same VM and the members
   whose VMs are gone, but no other member, since this process itself may be
   the one that is out of reach.
   @return false if the list is full. */
static bool
takeover_list (struct cell *c, struct cell_record *next, uint64_t op)
{
  const struct cell_record *r = &c->record;
  for (int i = 0; i < r->member_count; i++)
    if (strcmp (r->members[i].name, c->options.self.name) != 0
        && !vm_is_gone (c, r->members[i].name))
      next->members[next->member_count++] = r->members[i];
  if (next->member_count == CELL_MAX_MEMBERS)
    return false;
  list_append (next, &c->options.self, op);
  return true;
}

/* Number of live members that are listed before this one and therefore
   propose a change before it. */
static int
proposer_rank (struct cell *c, int64_t now)
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

/* Time without any message from a member after which a process adds itself to
   the cell. */
static int64_t
takeover_delay (struct cell *c, int64_t now)
{
  bool all_ended = true;
  for (int i = 0; i < c->record.member_count; i++)
    {
      const struct cell_member *m = &c->record.members[i];
      all_ended = all_ended
                  && (strcmp (m->name, c->options.self.name) == 0
                      || vm_is_gone (c, m->name)
                      || successor_of (c, m, now) != NULL);
    }
  /* All members have ended, or the list is empty: there is no lease to wait
     for. */
  if (all_ended)
    return c->takeover_backoff_us;
  return c->options.dead_after_us + max_lease_us (c) + c->takeover_backoff_us;
}

/* Decide whether to change the member list now.
   @param next set to the record to write.
   @return whether it is to be written. */
static bool
propose_change (struct cell *c, int64_t now, uint64_t op,
                struct cell_record *next)
{
  bool member = cell_is_member (c);
  memset (next, 0, sizeof *next);
  if (!c->record_known || c->leaving || now < c->next_proposal_at)
    return false;
  if (!member && now < c->isolated_since + takeover_delay (c, now))
    return false;
  enum change change = CHANGE_REMOVE;
  if (member)
    change = desired_list (c, next, op, now);
  else if (!takeover_list (c, next, op))
    change = CHANGE_NONE;
  if (change == CHANGE_NONE)
    {
      c->change_wanted_since = NEVER;
      return false;
    }
  if (c->change_wanted_since == NEVER)
    c->change_wanted_since = now;
  /* Fractions do not move during a change, so a new process waits for one
     heartbeat, and processes that start together are added together. */
  int intervals = change == CHANGE_JOIN ? 1 : 0;
  if (member)
    intervals += proposer_rank (c, now);
  if (now < c->change_wanted_since + intervals * c->options.heartbeat_us)
    return false;
  /* The record keeps one previous list, so leases under older lists must not
     be renewable any more. */
  if (!previous_is_blocked (c, now))
    return false;
  if (!member && c->record.version != 0)
    {
      c->takeover_backoff_us
          = c->takeover_backoff_us * 2 + c->options.member_lease_us;
      if (c->takeover_backoff_us > TAKEOVER_BACKOFF_MAX_US)
        c->takeover_backoff_us = TAKEOVER_BACKOFF_MAX_US;
      c->isolated_since = now;
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
  h->to = p->member.id;
  h->version = c->record.version;
  h->settled = c->settled;
  h->sent_at = now;
  h->leaving = c->leaving;
  /* A restarted process does not know what its predecessor confirmed, so it
     confirms nothing until those leases have ended.  A process that uses an
     older version is not confirmed, so that its lease ends. */
  if (now >= c->created_at + max_lease_us (c) && p->sent_at != NEVER
      && p->version >= c->record.version)
    h->echo = p->sent_at;
  for (int i = 0; i < c->record.member_count; i++)
    {
      uint64_t id = c->record.members[i].id;
      if (!is_self (c, id) && is_silent (c, c->members[i], now))
        h->silent[h->silent_count++] = id;
    }
}

/* Mark the messages that are to be sent to each peer now. */
static void
mark_messages_due (struct cell *c, int64_t now)
{
  bool is_member = cell_is_member (c);
  bool coordinates = is_member && c->record.coordinator == c->options.self.id;
  for (int i = 0; i < PEERS_MAX; i++)
    {
      struct peer *p = &c->peers[i];
      if (p->member.id == 0 || is_self (c, p->member.id))
        continue;
      bool peer_is_member = find_member (c, p->member.id) != NULL;
      if (is_member && (peer_is_member || is_candidate (c, p, now)))
        p->due |= DUE_HEARTBEAT;
      if (!is_member && peer_is_member && !c->leaving)
        p->due |= DUE_JOIN;
      if (coordinates && peer_is_member
          && p->holdings_version != c->record.version)
        p->due |= DUE_FREEZE;
      if (c->allotting && peer_is_member && p->settled != c->record.version)
        p->due |= DUE_ALLOT;
    }
}

/* Return one message that is due as an action.
   @return false if there is none. */
static bool
take_due_message (struct cell *c, int64_t now, struct cell_action *action)
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

/* Start sending the allotment, once per version.
   @return whether it was started, so that this member applies its own. */
static bool
start_allotment (struct cell *c, int64_t now)
{
  if (c->allotting || !cell_is_member (c)
      || c->record.coordinator != c->options.self.id
      || c->settled == c->record.version || !holdings_are_final (c, now))
    return false;
  c->allotting = true;
  mark_messages_due (c, now);
  return true;
}

/* Handle what depends on the time that passed. */
static void
handle_elapsed_time (struct cell *c, int64_t now)
{
  /* After a pause of this process every peer seems silent, so their silence
     counts from now. */
  if (now - c->last_call_at > c->options.heartbeat_us)
    for (int i = 0; i < PEERS_MAX; i++)
      if (c->peers[i].member.id != 0)
        c->peers[i].grace_at = now;
  c->last_call_at = now;
  if (c->updating && now - c->update_at > PLATFORM_TIMEOUT_US)
    cell_on_update (c, 2, 0, now);
  /* A process that receives heartbeats of a member is added by that member. */
  uint64_t live[CELL_MAX_MEMBERS];
  if (!cell_is_member (c) && cell_live_members (c, live, now) > 0)
    c->isolated_since = now;
}

/* Bit per member that is silent. */
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
cell_next_action (struct cell *c, int64_t now, uint64_t op,
                  struct cell_action *action)
{
  bool skip
      = !c->dirty && now < c->next_check_at && now < c->next_heartbeat_at;
  if (skip && now - c->last_call_at <= c->options.heartbeat_us)
    {
      c->last_call_at = now;
      return false;
    }
  c->dirty = true;
  c->next_check_at = now + CHECK_US;
  memset (action, 0, sizeof *action);
  handle_elapsed_time (c, now);
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
  /* A removal needs the votes of most members, so a newly silent member is
     reported at once. */
  if (silent & ~c->silent_mask)
    c->next_heartbeat_at = now;
  c->silent_mask = silent;
  if (now >= c->next_heartbeat_at)
    {
      c->next_heartbeat_at = now + c->options.heartbeat_us;
      mark_messages_due (c, now);
    }
  if (start_allotment (c, now))
    {
      action->kind = CELL_ALLOT;
      action->member = c->options.self.id;
      action->version = c->record.version;
      return true;
    }
  if (take_due_message (c, now, action))
    return true;
  if (c->read_due && now >= c->next_read_at)
    {
      c->next_read_at = now + c->options.heartbeat_us;
      action->kind = CELL_READ;
      return true;
    }
  if (!c->updating && propose_change (c, now, op, &action->record))
    {
      c->updating = true;
      c->update_at = now;
      c->proposed = action->record;
      c->next_proposal_at = now + c->options.heartbeat_us;
      action->kind = CELL_UPDATE;
      action->version = action->record.version;
      return true;
    }
  c->dirty = false;
  return false;
}
