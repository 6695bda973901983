#include "session/directory.h"
#include "session/fleet_private.h"

/* @return a voter that has been silent for VOTER_REMOVE_US, NULL if there is
   none. */
static const struct voter_entry *
find_silent_voter (const struct fleet *f, int64_t now)
{
  const struct voter_list *list = voters_list (f->sessiond->voters);
  for (int i = 0; i < list->count; i++)
    {
      const struct voter_entry *voter = &list->entries[i];
      const struct peer *p = peer_find (f, voter->id);
      int64_t last_seen = p != NULL && p->received_at > f->started_at
                              ? p->received_at
                              : f->started_at;
      if (voter->id != f->sessiond->self && now - last_seen >= VOTER_REMOVE_US)
        {
          log_info (PART, "event=voter_removed name=%s silent_ms=%" PRId64,
                    LOG_TEXT (voter->name), (now - last_seen) / USEC_PER_MSEC);
          return voter;
        }
    }
  return NULL;
}

static int
count_voters_in_domain (const struct fleet *f, const char *failure_domain)
{
  int found = 0;
  const struct voter_list *list = voters_list (f->sessiond->voters);
  for (int i = 0; i < list->count; i++)
    found
        += bstr_equals_text (list->entries[i].failure_domain, failure_domain);
  return found;
}

/* @return the best observer to add to the voters, NULL if there is none: the
   one with the most capacity, then the one in the failure domain with the
   fewest voters. */
static const struct peer *
find_new_voter (const struct fleet *f, int64_t now)
{
  const struct peer *best = NULL;
  for (const struct peer *p = f->peers; p != NULL; p = p->next)
    {
      if (!p->wants_vote || p->is_voter || p->leaving
          || !peer_is_alive (p, now) || p->address == NULL || !p->knows_us)
        continue;
      if (best == NULL || p->capacity > best->capacity
          || (p->capacity == best->capacity
              && count_voters_in_domain (f, p->failure_domain)
                     < count_voters_in_domain (f, best->failure_domain)))
        best = p;
    }
  return best;
}

/* @return whether this member maintains the list of voters: it has the
   smallest id among the live voters, is in a quorum and reaches the store. */
static bool
maintains_voter_list (const struct fleet *f, int64_t now)
{
  for (const struct peer *p = f->peers; p != NULL; p = p->next)
    if (peer_is_alive (p, now) && p->is_voter && p->id < f->sessiond->self)
      return false;
  return lease_is_voter (f->leases) && lease_has_quorum (f->leases, now)
         && directory_reaches_store (f->sessiond->directory);
}

/* The voter with the smallest id among the live ones changes the list by one
   step, once a majority of the voters has had the current list for long
   enough. */
void
fleet_change_voters (struct fleet *f, int64_t now)
{
  struct voters *voters = f->sessiond->voters;
  const struct voter_list *list = voters_list (voters);
  if (!maintains_voter_list (f, now))
    return;
  /* The same voters, so this list may follow one that is not established. */
  if (voters_list_is_lost (voters))
    voters_write_again (voters);
  if (voters_list_is_lost (voters)
      || !lease_list_is_established (f->leases, now))
    return;
  const struct voter_entry *silent = find_silent_voter (f, now);
  const struct peer *added = silent == NULL && list->count < VOTERS_WANTED
                                 ? find_new_voter (f, now)
                                 : NULL;
  bool is_complete = silent == NULL && added == NULL;
  if (list->settled != is_complete)
    voters_set_settled (voters, is_complete);
  else if (silent != NULL)
    voters_remove (voters, silent->id);
  else if (added != NULL)
    voters_add (voters,
                &(struct voter_entry){ .name = bstr_from (added->name),
                                       .id = added->id,
                                       .address = bstr_from (added->address),
                                       .failure_domain
                                       = bstr_from (added->failure_domain) });
}
