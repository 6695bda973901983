#include "core/memory_account.h"

#include <talloc.h>

/* Released bytes from which giving memory back is worth a walk over the free
   blocks. */
#define TRIM_BYTES ((size_t)4 << 20)

struct memory_account
{
  struct memory_account_options options;
  struct memory_client *clients;
  size_t total;
  size_t peak;      /**< Largest total since memory was given back. */
  bool making_room; /**< It was over the limit and has no room yet. */
};

struct memory_charge
{
  struct memory_account *account;
  size_t bytes;
};

struct memory_account *
memory_account_create (void *parent,
                       const struct memory_account_options *options)
{
  struct memory_account *a = talloc_zero (parent, struct memory_account);
  a->options = *options;
  return a;
}

size_t
memory_account_total (const struct memory_account *a)
{
  return a->total;
}

size_t
memory_account_limit (const struct memory_account *a)
{
  return a->options.limit;
}

bool
memory_account_has_room (const struct memory_account *a, size_t bytes)
{
  return a->total + bytes <= a->options.limit;
}

static void
add_bytes (struct memory_account *a, size_t bytes)
{
  a->total += bytes;
  if (a->total > a->peak)
    a->peak = a->total;
}

static int
charge_destructor (struct memory_charge *charge)
{
  charge->account->total -= charge->bytes;
  return 0;
}

struct memory_charge *
memory_account_charge (struct memory_account *a, void *parent, size_t bytes)
{
  struct memory_charge *charge = talloc (parent, struct memory_charge);
  *charge = (struct memory_charge){ a, bytes };
  talloc_set_destructor (charge, charge_destructor);
  add_bytes (a, bytes);
  return charge;
}

/* @return whether client @p c is to be closed before @p other. */
static bool
is_worse (const struct memory_client *c, const struct memory_client *other)
{
  if (other == NULL || c->total != other->total)
    return other == NULL || c->total > other->total;
  return c->bytes[MEMORY_RECEIVED] > other->bytes[MEMORY_RECEIVED];
}

struct memory_client *
memory_account_worst (struct memory_account *a)
{
  struct memory_client *worst = NULL;
  size_t limit = a->options.limit;
  if (a->total > limit)
    a->making_room = true;
  else if (a->total <= limit - limit / 8)
    a->making_room = false;
  if (!a->making_room)
    return NULL;
  for (struct memory_client *c = a->clients; c != NULL; c = c->next)
    if (c->total >= a->options.offender_bytes && is_worse (c, worst))
      worst = c;
  return worst;
}

bool
memory_account_should_trim (struct memory_account *a)
{
  if (a->peak < a->total + TRIM_BYTES)
    return false;
  a->peak = a->total;
  return true;
}

void
memory_client_add (struct memory_account *a, struct memory_client *c)
{
  c->next = a->clients;
  c->prev_next = &a->clients;
  if (c->next != NULL)
    c->next->prev_next = &c->next;
  a->clients = c;
}

void
memory_client_remove (struct memory_account *a, struct memory_client *c)
{
  if (c->prev_next == NULL)
    return;
  *c->prev_next = c->next;
  if (c->next != NULL)
    c->next->prev_next = c->prev_next;
  c->prev_next = NULL;
  a->total -= c->total;
  c->total = 0;
}

enum memory_verdict
memory_client_set (struct memory_account *a, struct memory_client *c,
                   enum memory_use use, size_t bytes)
{
  size_t old = c->bytes[use];
  if (c->prev_next == NULL || bytes == old)
    return MEMORY_FITS;
  c->bytes[use] = bytes;
  c->total = c->total - old + bytes;
  a->total -= old;
  add_bytes (a, bytes);
  if (bytes < old)
    return MEMORY_FITS;
  if (a->options.client_limit > 0 && c->total > a->options.client_limit)
    return MEMORY_CLIENT_OVER;
  return a->total > a->options.limit ? MEMORY_TOTAL_OVER : MEMORY_FITS;
}

bool
memory_client_may_read (const struct memory_account *a,
                        const struct memory_client *c)
{
  return a->options.pause_bytes == 0
         || c->bytes[MEMORY_QUEUED] + c->bytes[MEMORY_UNSENT]
                < a->options.pause_bytes;
}
