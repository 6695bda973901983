/** @file
 * Decides whether this daemon may acknowledge a write of a group now.
 *
 * Authority for a term is a lease that a majority of the group's endpoints
 * grants by answering polls.  It ends one lease duration after the poll was
 * sent, and does not need the platform.  See docs/design.md, section 3.1.
 */
#ifndef CORE_AUTHORITY_H
#define CORE_AUTHORITY_H

#include "core/types.h"

/** What the endpoints of one group have answered, and the known terms. */
struct authority;

struct authority_options
{
  int endpoint_count;
  int64_t lease_us;
  /** Replicas that must have received a write before it is acknowledged. */
  int confirm_replicas;
};

/** What to answer to the caller of a write. */
enum ack_verdict
{
  ACK_SEND,      /**< Report that the write ran. */
  ACK_WAIT,      /**< Decide again when a status or a term arrives. */
  ACK_DISCARDED, /**< Report not_run: the newer term lacks the write. */
  ACK_UNKNOWN    /**< The newer term may or may not contain the write. */
};

struct authority *authority_create (void *parent,
                                    const struct authority_options *options);

/** Records an answer to a poll.
 * @param sent_at when the poll was sent, on this daemon's clock. */
void authority_record_status (struct authority *a, int endpoint,
                              const struct endpoint_status *status,
                              int64_t sent_at);

/** Records that @p term exists, as the platform or a peer reports.  No lower
 * term ever gets authority again. */
void authority_record_term (struct authority *a, uint64_t term);

/** Records that @p term was opened with @p primary at @p branch_point, the
 * last position that it shares with the term before. */
void authority_record_opening (struct authority *a, uint64_t term, int primary,
                               uint64_t branch_point);

/** Releases authority for all terms up to @p term at once. */
void authority_release (struct authority *a, uint64_t term);

/** @return the highest known term. */
uint64_t authority_term (const struct authority *a);

/** @return the primary of the newest opened term, INDEX_NONE if it is not
 * known. */
int authority_primary (const struct authority *a);

/** @return the time at which authority for @p term ends; 0 if there is none.
 */
int64_t authority_expiry (const struct authority *a, uint64_t term);

/** @return the number of replicas that have received @p lsn on @p term. */
int authority_confirmations (const struct authority *a, uint64_t term,
                             uint64_t lsn);

/** Decides about a write that the primary of @p term answered.
 * @param lower position before the commit.
 * @param upper position after the commit. */
enum ack_verdict authority_decide (const struct authority *a, uint64_t term,
                                   uint64_t lower, uint64_t upper,
                                   int64_t now);

#endif
