/** @file
 * Decides whether this daemon may acknowledge a write of a group now.
 *
 * Authority for a term is a lease that a majority of the group's endpoints
 * grants by answering polls: it lasts until the send time of the poll plus
 * the lease.  It does not need the platform.  docs/design.md, section 3.1.
 */
#ifndef CORE_AUTHORITY_H
#define CORE_AUTHORITY_H

#include "core/types.h"

struct authority;

struct authority_options
{
  int endpoint_count;
  int64_t lease_us;
  int confirm_replicas; /**< Replicas that must hold a write first. */
};

enum ack_verdict
{
  ACK_SEND, /**< Tell the caller that it ran. */
  ACK_WAIT, /**< Ask again when a status or a term arrives. */
  ACK_DISCARDED /**< The write is not part of the newer term: not_run. */,
  ACK_UNKNOWN /**< The newer term may or may not contain it. */
};

struct authority *authority_create (void *parent,
                                    const struct authority_options *options);

/** Record an answer to a poll.
 * @param sent_at when the poll was sent, on this daemon's clock. */
void authority_observe (struct authority *a, int endpoint,
                        const struct endpoint_status *status, int64_t sent_at);

/** Record that @p term exists, from the platform or a peer.  No lower term
 * ever gets authority again. */
void authority_term_seen (struct authority *a, uint64_t term);

/** Record that @p term was opened with @p primary at @p branch_start, the
 * last position that it shares with the term before. */
void authority_term_opened (struct authority *a, uint64_t term, int primary,
                            uint64_t branch_start);

/** Give up authority for all terms up to @p term at once. */
void authority_release (struct authority *a, uint64_t term);

uint64_t authority_term (const struct authority *a);

/** @return the endpoint that leads the newest opened term, INDEX_NONE if
 * it is not known. */
int authority_primary (const struct authority *a);

/** @return the time at which authority for @p term ends, 0 if there is
 * none. */
int64_t authority_expiry (const struct authority *a, uint64_t term);

/** @return the number of replicas that hold @p lsn on @p term. */
int authority_confirmations (const struct authority *a, uint64_t term,
                             uint64_t lsn);

/** Decide about a write that the primary of @p term answered.
 * @param lower position before the commit, @param upper after it. */
enum ack_verdict authority_decide (const struct authority *a, uint64_t term,
                                   uint64_t lower, uint64_t upper,
                                   int64_t now);

#endif
