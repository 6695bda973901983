#include "standins/standin.h"

#include <signal.h>
#include <stdio.h>

bool
standin_read_options (const char *name, const struct poptOption *options,
                      int argc, const char **argv)
{
  poptContext context = poptGetContext (name, argc, argv, options, 0);
  int rc = poptGetNextOpt (context);
  if (rc != -1)
    fprintf (stderr, "%s: %s: %s\n", name, poptBadOption (context, 0),
             poptStrerror (rc));
  poptFreeContext (context);
  return rc == -1;
}

static void
on_terminate (struct tevent_context *ev, struct tevent_signal *se, int signum,
              int count, void *siginfo, void *data)
{
  (void)ev, (void)se, (void)signum, (void)count, (void)siginfo;
  bool *stop = data;
  *stop = true;
}

void
standin_run (struct tevent_context *ev)
{
  bool stop = false;
  struct tevent_signal *terminate
      = tevent_add_signal (ev, ev, SIGTERM, 0, on_terminate, &stop);
  struct tevent_signal *interrupt
      = tevent_add_signal (ev, ev, SIGINT, 0, on_terminate, &stop);
  while (!stop && tevent_loop_once (ev) == 0)
    ;
  talloc_free (terminate);
  talloc_free (interrupt);
}
