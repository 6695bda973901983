/** @file
 * The databases of the stand-in and their connections.  Shared by the files of
 * the databases; not for other folders.
 */
#ifndef STANDINS_SITE_PRIVATE_H
#define STANDINS_SITE_PRIVATE_H

#include "net/stream.h"
#include "standins/site.h"
#include "standins/site_line.h"

/** Name of this part in the log. */
#define PART "database"
#define SITE_MAX_DATABASES 24

/** A write, in the log of a database or in an open transaction. */
struct commit
{
  uint64_t term;
  uint64_t number; /**< Counts the entries of the log from 1. */
  char *id;        /**< Id of the statement, escaped. */
  struct bstr item;
  struct bstr data;
};

/** Kinds of answers, for the faults that repeat some of them. */
enum answer_kind
{
  ANSWER_SIGNED = 1,
  ANSWER_UNSIGNED = 2,
  ANSWER_ERROR = 4,
  ANSWER_ANY = 7
};

/** A fault of the next statement with some verb. */
struct next_fault
{
  struct next_fault *next;
  char *verb;
  char *code;    /**< Answer with this error, without a run; NULL: run it. */
  int repeat_ms; /**< Send the answer again after this time; 0: do not. */
  bool withheld; /**< Run it, and send no answer. */
};

/** One database server of a service. */
struct database
{
  struct site_databases *site;
  char *service;
  char *id;
  int port;
  bool is_primary;
  bool dead;                /**< Fault: killed, does not listen. */
  bool silent;              /**< Fault: runs statements without answering. */
  bool replication_stopped; /**< Fault: receives no commits as a replica. */
  bool apart; /**< Fault: the other databases do not reach it, so that it
                 learns of no newer primary either. */
  bool draining;
  /** Fault: run the next statement of a caller and close the connection
   * instead of answering. */
  bool lose_next_answer;
  bool omit_next_signature;
  struct next_fault *next_faults;
  /** Fault: this share, in percent, of the answers of these kinds comes a
   * second time. */
  int stutter_share;
  enum answer_kind stutter_kinds;
  char *slow_verb; /**< Fault: statements with this verb take slow_ms longer;
                      NULL: no fault. */
  int slow_ms;
  int busy_share;  /**< Fault: percent of reads and writes refused as BUSY. */
  int row_count;   /**< Fault: how often reads answer their first row. */
  struct bstr row; /**< Fault: first row of every read; NULL: no fault. */
  uint64_t term;   /**< Newest term that it knows. */
  int64_t born_ms; /**< Start time that it publishes. */
  struct stream_server *server;
  struct commit *log; /**< Committed writes, oldest first. */
  int log_count;
  struct session *sessions;
  int connections;   /**< Number of sessions. */
  int session_count; /**< Sessions that there have been. */
};

/** The newest order to promote a database of a service. */
struct newest_order
{
  struct newest_order *next;
  const char *service;
  uint64_t token; /**< Its fencing token. */
  char *holder;   /**< Who sent it; NULL: nobody yet. */
};

/** The databases of all services, and what the test checks of them. */
struct site_databases
{
  struct site_databases_options options;
  struct database *databases[SITE_MAX_DATABASES];
  int count;
  unsigned random_state;
  uint64_t newest_token;       /**< Highest fencing token of all services. */
  struct newest_order *orders; /**< One for each service with an order. */
  json_t *runs;                /**< Every statement of a caller that ran. */
  json_t *violations;          /**< Broken guarantees: {rule, id}. */
  uint64_t run_count;
};

/** @return a random number from 0 to @p bound - 1. */
unsigned site_random (struct site_databases *g, unsigned bound);
/** Record that a guarantee was broken, for the test to check. */
void site_record_violation (struct site_databases *g, const char *text,
                            const char *id);
/** Commit writes to the log and replicate it; a statement whose id is in the
 * log already is recorded as a violation. */
void site_append_commits (struct database *d, const struct commit *writes,
                          int count);
/** @return the term of the newest log entry; 1 if the log is empty. */
uint64_t site_last_term (const struct database *d);
/** @return the number of the newest log entry; 0 if the log is empty. */
uint64_t site_last_number (const struct database *d);

/* site_session.c */
/** Serve a connection of a daemon. */
void site_session_accept (struct database *d, int fd);
/** Close a connection; an open transaction is rolled back. */
void site_session_close (struct session *s);

#endif
