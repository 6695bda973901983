/** @file
 * Rate and burst of each organisation, shared among the members of a cell
 * as fractions that are moved and never copied.  docs/design.md,
 * section 3.5.
 */
#ifndef CORE_BUDGET_H
#define CORE_BUDGET_H

#include "core/types.h"

struct budget;

struct budget_options
{
  uint64_t self;
  int64_t resend_us;  /**< Until an unacknowledged grant is sent again. */
  bool static_shares; /**< Baseline: never move fractions. */
};

enum budget_verdict
{
  BUDGET_ADMIT,
  BUDGET_WAIT,  /**< Tokens were asked for; ask again within wait_us. */
  BUDGET_REFUSE /**< Over the rate; retry_us says when a token is due. */
};

struct budget_decision
{
  enum budget_verdict verdict;
  int64_t wait_us;
  int64_t retry_us;
};

/** Bytes of "SERVICE/ORGANISATION" and its terminating NUL. */
#define BUDGET_NAME_SIZE 128

enum budget_message_kind
{
  BUDGET_NEED,
  BUDGET_GRANT,
  BUDGET_GRANT_ACK
};

struct budget_message
{
  enum budget_message_kind kind;
  uint64_t from, to;
  uint64_t version; /**< Cell version; other versions are ignored. */
  char organisation[BUDGET_NAME_SIZE];
  uint64_t id;     /**< Of a grant, unique per sender. */
  double fraction; /**< Of the organisation's rate and burst. */
  double tokens;
};

/** Per-organisation report in a heartbeat. */
struct budget_report
{
  uint64_t from;
  char organisation[BUDGET_NAME_SIZE];
  double fraction;
  double tokens;
  double demand; /**< Requests per second offered lately. */
};

struct budget *budget_create (void *parent,
                              const struct budget_options *options);
/** Set or change an organisation's rate (requests per second) and burst. */
void budget_set_rate (struct budget *b, const char *organisation, double rate,
                      double burst, int64_t now);
/** @param lease_valid result of cell_lease_valid at @p now. */
struct budget_decision budget_admit (struct budget *b,
                                     const char *organisation,
                                     bool lease_valid, int64_t now);
/** Give a token back; only for a request that was certainly not run. */
void budget_refund (struct budget *b, const char *organisation, int64_t now);
void budget_on_message (struct budget *b, const struct budget_message *m,
                        int64_t now);
void budget_on_report (struct budget *b, const struct budget_report *r,
                       int64_t now);
/** @return false when there is no further report for a heartbeat; @p index
 * counts from 0. */
bool budget_report (const struct budget *b, int index,
                    struct budget_report *report);
bool budget_next (struct budget *b, int64_t now,
                  struct budget_message *message);

/** Stop moving fractions and use @p version from now on. */
void budget_freeze (struct budget *b, uint64_t version);
/** Fraction held of an organisation, for a holdings message. */
double budget_holding (const struct budget *b, const char *organisation);
/** Set the fraction allotted under @p version; gained burst is empty. */
void budget_allot (struct budget *b, uint64_t version,
                   const char *organisation, double fraction, int64_t now);

#endif
