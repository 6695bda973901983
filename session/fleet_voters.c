#include "session/directory.h"
#include "session/fleet_private.h"

/* @return a voter that was silent for long, NULL if there is none. */
static const struct voter_entry *
find_silent_voter (const struct fleet *f, int64_t now)
{
  const struct voter_list *list = voters_list (f->relay->voters);
  for (int i = 0; i < list->count; i++)
    {
      const struct voter_entry *voter = &list->entries[i];
      const struct peer *p = peer_find (f, voter->id);
      int64_t heard
          = p != NULL && p->heard > f->started ? p->heard : f->started;
      if (voter->id != f->relay->self && now - heard >= REMOVE_US)
        {
          log_info (PART, "event=voter_removed name=%s silent_ms=%" PRId64,
                    voter->name.start, (now - heard) / USEC_PER_MSEC);
          return voter;
        }
    }
  return NULL;
}

static int
voters_in_domain (const struct fleet *f, const char *failure_domain)
{
  int found = 0;
  const struct voter_list *list = voters_list (f->relay->voters);
  for (int i = 0; i < list->count; i++)
    found
        += bstr_equals_text (list->entries[i].failure_domain, failure_domain);
  return found;
}

/* Large VMs first, then those in a failure domain with few voters. */
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
              && voters_in_domain (f, p->failure_domain)
                     < voters_in_domain (f, best->failure_domain)))
        best = p;
    }
  return best;
}

static bool
leads_the_voters (const struct fleet *f, int64_t now)
{
  for (const struct peer *p = f->peers; p != NULL; p = p->next)
    if (peer_is_alive (p, now) && p->is_voter && p->id < f->relay->self)
      return false;
  return lease_is_voter (f->leases) && lease_has_quorum (f->leases, now)
         && directory_store_answers (f->relay->directory);
}

/* The voter with the smallest id among those that are heard changes the list,
   once all that count know the last change. */
void
fleet_change_voters (struct fleet *f, int64_t now)
{
  struct voters *voters = f->relay->voters;
  const struct voter_list *list = voters_list (voters);
  if (!leads_the_voters (f, now)
      || !lease_list_is_established (f->leases, now))
    return;
  const struct voter_entry *silent = find_silent_voter (f, now);
  const struct peer *fresh = silent == NULL && list->count < VOTERS_WANTED
                                 ? find_new_voter (f, now)
                                 : NULL;
  bool is_complete = silent == NULL && fresh == NULL;
  if (list->settled != is_complete)
    voters_settle (voters, is_complete);
  else if (silent != NULL)
    voters_remove (voters, silent->id);
  else if (fresh != NULL)
    voters_add (voters,
                &(struct voter_entry){ .name = bstr_from (fresh->name),
                                       .id = fresh->id,
                                       .address = bstr_from (fresh->address),
                                       .failure_domain
                                       = bstr_from (fresh->failure_domain) });
}
