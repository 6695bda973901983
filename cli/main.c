#include "cli/cli.h"

#include <curl/curl.h>

int
main (int argc, char **argv)
{
  curl_global_init (CURL_GLOBAL_DEFAULT);
  int code = cli_run (argc, (const char **)argv, stdout, stderr);
  curl_global_cleanup ();
  return code;
}
