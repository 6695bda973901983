/** @file
 * Rate and burst of each organisation, shared among the members of a cell
 * as fractions that are moved and never copied.  docs/design.md,
 * section 3.5, and docs/budget.md.
 */
#ifndef CORE_BUDGET_H
#define CORE_BUDGET_H

#include "core/cell.h"

struct budget;

struct budget_options
{
  uint64_t self;
  int64_t resend_us;   /**< Until an unacknowledged grant is sent again. */
  int64_t max_wait_us; /**< Longest wait for tokens; 0: the default. */
  /** Longest wait while an allotment is expected, because a member that holds
   * a clear part is silent or the version is not settled; 0: the default,
   * 3 s; negative: never longer than max_wait_us. */
  int64_t silent_wait_us;
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
  BUDGET_GRANT, /**< id 0: the sender has nothing to give. */
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
  bool urgent; /**< BUDGET_NEED: requests wait for these tokens. */
  /** What the sender still has: lets the receiver choose whom to ask. */
  double held_fraction, held_tokens;
  uint64_t hint; /**< Peer that the sender gave its tokens to lately, 0. */
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

/** What one member holds or is allotted of one organisation. */
struct budget_holding
{
  uint64_t member;
  char organisation[BUDGET_NAME_SIZE];
  double fraction;
};

struct budget *budget_create (void *parent,
                              const struct budget_options *options);
/** Set or change an organisation's rate (requests per second) and burst. */
void budget_set_rate (struct budget *b, const char *organisation, double rate,
                      double burst, int64_t now);
/** @param lease_valid result of cell_lease_valid at @p now.
 * @param waited_us since the first call for this request, 0 in that call. */
struct budget_decision budget_admit (struct budget *b,
                                     const char *organisation,
                                     bool lease_valid, int64_t waited_us,
                                     int64_t now);
/** Give a token back; only for a request that was certainly not run. */
void budget_refund (struct budget *b, const char *organisation, int64_t now);
/** Waiting requests may be asked about again after a grant. */
void budget_on_message (struct budget *b, const struct budget_message *m,
                        int64_t now);
void budget_on_report (struct budget *b, const struct budget_report *r,
                       int64_t now);
/** @return false when there is no further report for a heartbeat; @p index
 * counts from 0. */
bool budget_report (struct budget *b, int index, int64_t now,
                    struct budget_report *report);
/** Call after each event and at least every resend_us. */
bool budget_next (struct budget *b, int64_t now,
                  struct budget_message *message);
/** A leaving member hands its fractions to its peers. */
void budget_set_leaving (struct budget *b, bool leaving);

/** Perform CELL_ADOPT: stop moving fractions and use this member list.
 * @param keep false if this process was removed since the version that it
 * used before: it then holds nothing. */
void budget_freeze (struct budget *b, const struct cell_record *record,
                    bool keep, int64_t now);
/** @return false when there is no further holding for a holdings message;
 * @p index counts from 0. */
bool budget_holding (const struct budget *b, int index,
                     struct budget_holding *holding);
/** A member reported one holding (coordinator only). */
void budget_on_holding (struct budget *b, uint64_t version,
                        const struct budget_holding *holding);
/** @return false when there is no further allotment of @p member for an
 * allot message; @p index counts from 0.  Valid once CELL_ALLOT was
 * returned for this version; the result stays the same. */
bool budget_allotment (struct budget *b, uint64_t member, int index,
                       struct budget_holding *allotment);
/** Set the fraction allotted under @p version; gained burst is empty.
 * Ignored if the version is not the current one or is settled. */
void budget_allot (struct budget *b, uint64_t version,
                   const char *organisation, double fraction, int64_t now);
/** All fractions of an allot message were set: move fractions again.  An
 * organisation that it does not name is new and divided equally.
 * @return whether @p version is now settled; call cell_on_allot then. */
bool budget_settle (struct budget *b, uint64_t version, int64_t now);

#endif
