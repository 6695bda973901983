#include "session/directory.h"
#include "session/fleet_private.h"

static bool
is_silent (const struct fleet *f, const struct voter_entry *voter, int64_t now)
{
  const struct peer *p = peer_find (f, voter->id);
  int64_t last_seen = p != NULL && p->received_at > f->started_at
                          ? p->received_at
                          : f->started_at;
  return voter->id != f->sessiond->self && now - last_seen >= VOTER_REMOVE_US;
}

/* @return whether the newest that is known of the voter is that its process
   ends. */
static bool
is_leaving (const struct fleet *f, const struct voter_entry *voter)
{
  const struct peer *p = peer_find (f, voter->id);
  return voter->id == f->sessiond->self ? f->sessiond->leaving_since != 0
                                        : p != NULL && p->leaving;
}

/* @return whether the voters that leave are removed without waiting to see
   whether they start again: several are absent, and only a few further ones
   may be lost before there is no majority. */
static bool
replaces_leaving_voters (const struct fleet *f, int64_t now)
{
  const struct voter_list *list = voters_list (f->sessiond->voters);
  int count = 0, present = 0;
  for (int i = 0; i < list->count; i++)
    {
      const struct voter_entry *voter = &list->entries[i];
      const struct peer *p = peer_find (f, voter->id);
      if (voter->change == LEASE_VOTER_RETIRES)
        continue;
      count++;
      present += !is_leaving (f, voter)
                 && (voter->id == f->sessiond->self
                     || (p != NULL && peer_is_alive (p, now)));
    }
  return count - present > 1 && present < count / 2 + 1 + VOTERS_TO_SPARE;
}

static bool
has_voter (const struct voter_list *list, uint64_t id)
{
  for (int i = 0; i < list->count; i++)
    if (list->entries[i].id == id)
      return true;
  return false;
}

static int
count_voters_in_domain (const struct voter_list *list,
                        const char *failure_domain)
{
  int found = 0;
  for (int i = 0; i < list->count; i++)
    found += list->entries[i].change != LEASE_VOTER_RETIRES
             && bstr_equals_text (list->entries[i].failure_domain,
                                  failure_domain);
  return found;
}

/* @return the best observer to add to the list, NULL if there is none: the
   one with the most capacity, then the one in the failure domain with the
   fewest voters. */
static const struct peer *
find_new_voter (const struct fleet *f, const struct voter_list *list,
                int64_t now)
{
  const struct peer *best = NULL;
  for (const struct peer *p = f->peers; p != NULL; p = p->next)
    {
      if (!p->wants_vote || p->leaving || !peer_is_alive (p, now)
          || p->address == NULL || !p->knows_us || has_voter (list, p->id))
        continue;
      if (best == NULL || p->capacity > best->capacity
          || (p->capacity == best->capacity
              && count_voters_in_domain (list, p->failure_domain)
                     < count_voters_in_domain (list, best->failure_domain)))
        best = p;
    }
  return best;
}

/* @return whether this member maintains the list of voters: it has the
   smallest id among the live voters that stay, is in a quorum and reaches the
   store. */
static bool
maintains_voter_list (const struct fleet *f, int64_t now)
{
  for (const struct peer *p = f->peers; p != NULL; p = p->next)
    if (peer_is_alive (p, now) && p->is_voter && !p->leaving
        && p->id < f->sessiond->self)
      return false;
  return lease_is_voter (f->leases) && f->sessiond->leaving_since == 0
         && lease_has_quorum (f->leases, now)
         && directory_reaches_store (f->sessiond->directory);
}

/* Add observers to a list that has room.  They are fewer than the voters that
   stay, so that these are a majority of the new voters and no owner loses its
   lease until the added ones have granted it.
   @param kept number of voters that stay. */
static void
add_observers (const struct fleet *f, struct voter_list *list, int kept,
               int64_t now)
{
  int most = kept > 2 ? kept - 1 : 1;
  for (int added = 0; added < most && kept + added < VOTERS_WANTED; added++)
    {
      const struct peer *p = find_new_voter (f, list, now);
      if (p == NULL)
        return;
      log_info (PART, "event=voter_added name=%s address=%s",
                p->name != NULL ? p->name : "", p->address);
      list->entries[list->count++]
          = (struct voter_entry){ .name = bstr_from (p->name),
                                  .id = p->id,
                                  .address = bstr_from (p->address),
                                  .failure_domain
                                  = bstr_from (p->failure_domain),
                                  .change = LEASE_VOTER_JOINS };
    }
}

/* @return the list that follows the present one: without the voters that have
   retired, with the changes that are due now, settled if there are none. */
static struct voter_list
plan_next_list (void *parent, const struct fleet *f, int64_t now)
{
  const struct voter_list *list = voters_list (f->sessiond->voters);
  bool replaces_leaving = replaces_leaving_voters (f, now);
  int kept = 0;
  struct voter_list next
      = { .entries = talloc_array (parent, struct voter_entry,
                                   (size_t)list->count + VOTERS_WANTED) };
  for (int i = 0; i < list->count; i++)
    {
      struct voter_entry entry = list->entries[i];
      if (entry.change == LEASE_VOTER_RETIRES)
        continue;
      bool silent = is_silent (f, &entry, now);
      bool left = replaces_leaving && is_leaving (f, &entry);
      entry.change = silent || left ? LEASE_VOTER_RETIRES : LEASE_VOTER_STAYS;
      if (entry.change == LEASE_VOTER_RETIRES)
        log_info (PART, "event=voter_removed name=%s silent=%d leaving=%d",
                  LOG_TEXT (entry.name), silent, left);
      else
        kept++;
      next.entries[next.count++] = entry;
    }
  int before = next.count;
  add_observers (f, &next, kept, now);
  next.settled = kept == before && next.count == before;
  return next;
}

/* The voter with the smallest id among the live ones writes the next list,
   once a majority of the voters has had the current one for long enough. */
void
fleet_change_voters (struct fleet *f, int64_t now)
{
  struct voters *voters = f->sessiond->voters;
  const struct voter_list *list = voters_list (voters);
  if (!maintains_voter_list (f, now) || !voters_may_write (voters))
    return;
  /* The same voters, so this list may follow one that is not established. */
  if (voters_list_is_lost (voters))
    {
      voters_write_again (voters);
      return;
    }
  if (!lease_list_is_established (f->leases, now))
    return;
  struct voter_list next = plan_next_list (f, f, now);
  if (!next.settled || !list->settled)
    {
      log_info (PART, "event=list_changed voters=%d settled=%d", next.count,
                next.settled);
      voters_change (voters, &next);
    }
  talloc_free (next.entries);
}

bool
fleet_needs_own_vote (const struct fleet *f)
{
  const struct voter_list *list = voters_list (f->sessiond->voters);
  return lease_is_voter (f->leases) && fleet_has_successor (f)
         && fleet_in_quorum (f)
         && (!list->settled || replaces_leaving_voters (f, clock_now ()));
}
