#include "core/entry_wait.h"

#include <talloc.h>

/* Once the expected time has passed without an owner, the next one is expected
   after this fraction of the usual takeover: another daemon may have to claim
   the service. */
#define OVERDUE_DIVISOR 2

/** What is known of one service and its waiting statements. */
struct waiting_service
{
  struct waiting_service *next;
  uint64_t service;
  bool has_owner;
  int64_t lost_at;
  int64_t lease_end;             /**< See entry_wait_lost. */
  struct entry_wait_item *items; /**< The most urgent one comes first. */
  int unanswered;                /**< Taken and not done. */
};

struct entry_wait
{
  struct entry_wait_options options;
  struct waiting_service *services;
  int count;
  size_t bytes;
};

struct entry_wait *
entry_wait_create (void *parent, const struct entry_wait_options *options)
{
  struct entry_wait *w = talloc_zero (parent, struct entry_wait);
  w->options = *options;
  return w;
}

static struct waiting_service *
find_service (const struct entry_wait *w, uint64_t service)
{
  struct waiting_service *s = w->services;
  while (s != NULL && s->service != service)
    s = s->next;
  return s;
}

static struct waiting_service *
get_service (struct entry_wait *w, uint64_t service)
{
  struct waiting_service *s = find_service (w, service);
  if (s != NULL)
    return s;
  s = talloc_zero (w, struct waiting_service);
  s->service = service;
  s->has_owner = true;
  s->next = w->services;
  w->services = s;
  return s;
}

void
entry_wait_lost (struct entry_wait *w, uint64_t service, int64_t lease_end,
                 int64_t now)
{
  struct waiting_service *s = get_service (w, service);
  if (s->has_owner)
    s->lost_at = now;
  s->has_owner = false;
  s->lease_end = lease_end;
}

void
entry_wait_found (struct entry_wait *w, uint64_t service)
{
  struct waiting_service *s = find_service (w, service);
  if (s != NULL)
    s->has_owner = true;
}

int64_t
entry_wait_expected (const struct entry_wait *w, uint64_t service, int64_t now)
{
  const struct waiting_service *s = find_service (w, service);
  if (s == NULL || s->has_owner)
    return now;
  int64_t from = s->lease_end > s->lost_at ? s->lease_end : s->lost_at;
  int64_t expected = from + w->options.takeover_us;
  int64_t overdue = w->options.takeover_us / OVERDUE_DIVISOR;
  return expected > now ? expected : now + overdue;
}

static bool
is_more_urgent (const struct entry_wait_item *a,
                const struct entry_wait_item *b)
{
  if (a->priority != b->priority)
    return a->priority < b->priority;
  return a->arrived_at < b->arrived_at;
}

static void
insert_item (struct entry_wait *w, struct waiting_service *s,
             struct entry_wait_item *item)
{
  struct entry_wait_item **at = &s->items;
  while (*at != NULL && !is_more_urgent (item, *at))
    at = &(*at)->next;
  item->next = *at;
  *at = item;
  item->is_waiting = true;
  w->count++;
  w->bytes += item->bytes;
}

void
entry_wait_remove (struct entry_wait *w, struct entry_wait_item *item)
{
  struct waiting_service *s = find_service (w, item->service);
  if (!item->is_waiting || s == NULL)
    return;
  struct entry_wait_item **at = &s->items;
  while (*at != item)
    at = &(*at)->next;
  *at = item->next;
  item->is_waiting = false;
  w->count--;
  w->bytes -= item->bytes;
}

static bool
has_room (const struct entry_wait *w, size_t bytes)
{
  return w->count < w->options.max_waiting
         && w->bytes + bytes <= w->options.max_bytes;
}

/* @return the least urgent waiting statement. */
static struct entry_wait_item *
find_least_urgent (const struct entry_wait *w)
{
  struct entry_wait_item *least = NULL;
  for (const struct waiting_service *s = w->services; s != NULL; s = s->next)
    for (struct entry_wait_item *item = s->items; item != NULL;
         item = item->next)
      if (least == NULL || is_more_urgent (least, item))
        least = item;
  return least;
}

/* @return whether an owner is expected too late for a statement. */
static bool
is_hopeless (const struct entry_wait *w, const struct entry_wait_item *item,
             int64_t now)
{
  if (w->options.fixed_wait_us > 0)
    return now - item->arrived_at > w->options.fixed_wait_us;
  return now > item->latest
         || entry_wait_expected (w, item->service, now) > item->latest;
}

bool
entry_wait_add (struct entry_wait *w, struct entry_wait_item *item,
                int64_t now, struct entry_wait_item **displaced,
                int64_t *retry_us)
{
  *displaced = NULL;
  *retry_us = entry_wait_expected (w, item->service, now) - now;
  if (is_hopeless (w, item, now) || item->bytes > w->options.max_bytes)
    return false;
  if (!has_room (w, item->bytes))
    {
      struct entry_wait_item *least = find_least_urgent (w);
      /* One that gives way must make room. */
      if (least == NULL || least->priority <= item->priority
          || w->bytes - least->bytes + item->bytes > w->options.max_bytes)
        return false;
      entry_wait_remove (w, least);
      *displaced = least;
    }
  insert_item (w, get_service (w, item->service), item);
  return true;
}

struct entry_wait_item *
entry_wait_take (struct entry_wait *w, uint64_t service)
{
  struct waiting_service *s = find_service (w, service);
  if (s == NULL || !s->has_owner || s->items == NULL
      || (w->options.fixed_wait_us == 0 && s->unanswered >= w->options.window))
    return NULL;
  struct entry_wait_item *item = s->items;
  entry_wait_remove (w, item);
  s->unanswered++;
  return item;
}

void
entry_wait_done (struct entry_wait *w, uint64_t service)
{
  struct waiting_service *s = find_service (w, service);
  if (s != NULL && s->unanswered > 0)
    s->unanswered--;
}

struct entry_wait_item *
entry_wait_expire (struct entry_wait *w, int64_t now, int64_t *retry_us)
{
  for (struct waiting_service *s = w->services; s != NULL; s = s->next)
    for (struct entry_wait_item *item = s->items; item != NULL;
         item = item->next)
      if (s->has_owner ? now > item->latest : is_hopeless (w, item, now))
        {
          *retry_us = entry_wait_expected (w, item->service, now) - now;
          entry_wait_remove (w, item);
          return item;
        }
  return NULL;
}

int
entry_wait_count (const struct entry_wait *w)
{
  return w->count;
}
