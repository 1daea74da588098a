/* flamingo-bench: sends a load plan to running entry hosts and reckons what came of it. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include <argtable2.h>
#include <curl/curl.h>
#include <glib.h>

#include "bench/load.h"
#include "cli/daemon.h"
#include "cli/table.h"
#include "common/clock.h"

#define URLS_MAX 64

static json_t *
result_json (const struct fl_stream_result *r, double seconds)
{
  return json_pack ("{s:s,s:s,s:I,s:f,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:f,s:f,s:f,s:I,s:I,s:I,s:O}",
                    "stream", r->name.data, "kind", fl_work_kind_names[r->kind], "sent",
                    (json_int_t)r->sent, "per_s", (double)r->sent / seconds, "done",
                    (json_int_t)r->outcomes[FL_OUTCOME_DONE], "failed",
                    (json_int_t)r->outcomes[FL_OUTCOME_FAILED], "not_run",
                    (json_int_t)r->outcomes[FL_OUTCOME_NOT_RUN], "unknown",
                    (json_int_t)r->outcomes[FL_OUTCOME_UNKNOWN], "accepted",
                    (json_int_t)r->outcomes[FL_OUTCOME_ACCEPTED], "jobs_done",
                    (json_int_t)r->jobs_done, "unreachable", (json_int_t)r->unreachable, "p50_ms",
                    (double)fl_histogram_quantile (&r->wait_us, 0.5) / 1000.0, "p99_ms",
                    (double)fl_histogram_quantile (&r->wait_us, 0.99) / 1000.0, "p999_ms",
                    (double)fl_histogram_quantile (&r->wait_us, 0.999) / 1000.0, "lost",
                    (json_int_t)r->lost, "doubled", (json_int_t)r->doubled, "false_not_run",
                    (json_int_t)r->false_not_run, "reasons", r->reasons);
}

static void
print_table (const json_t *results)
{
  static const struct fl_column columns[] = { { "STREAM", "stream" },
                                              { "KIND", "kind" },
                                              { "SENT", "sent" },
                                              { "DONE", "done" },
                                              { "FAILED", "failed" },
                                              { "NOT RUN", "not_run" },
                                              { "UNKNOWN", "unknown" },
                                              { "ACCEPTED", "accepted" },
                                              { "JOBS DONE", "jobs_done" },
                                              { "P50 MS", "p50_ms" },
                                              { "P99 MS", "p99_ms" },
                                              { "P99.9 MS", "p999_ms" },
                                              { "LOST", "lost" },
                                              { "DOUBLED", "doubled" },
                                              { "FALSE NOT RUN", "false_not_run" },
                                              { NULL, NULL } };

  fl_table_print (stdout, results, columns);
}

static void
print_probe (struct fl_probe_result probe)
{
  printf ("largest distance from share: %.3f last, %.3f mean (%" PRId64 " samples)\n",
          probe.distance_last, probe.distance_mean, probe.usage_samples);
  printf ("processors in use: %.3f highest, %.3f mean (%" PRId64 " samples)\n", probe.packing_max,
          probe.packing_mean, probe.host_samples);
}

static int
run (const struct fl_plan *plan,
     const char *const *urls,
     const char *records,
     const char *operator_key,
     const char *csv_path,
     bool json)
{
  g_autofree char *run_id = g_strdup_printf ("%" PRIx64, (uint64_t)fl_clock_wall_ms ());
  FILE *csv = csv_path != NULL ? fopen (csv_path, "w") : NULL;
  struct fl_load_options options = { .plan = plan,
                                     .urls = urls,
                                     .records = records,
                                     .operator_key = operator_key,
                                     .run_id = run_id,
                                     .csv = csv };
  int bad = 0;

  if (csv_path != NULL && csv == NULL)
    {
      perror (csv_path);
      return FL_EXIT_USAGE;
    }
  if (csv != NULL)
    fputs ("second,stream,sent,done,p50_us,p99_us,p999_us\n", csv);
  struct fl_load *load = fl_load_new (&options);
  fl_load_run (load);
  json_t *list = json_array ();
  for (size_t i = 0; i < plan->streams.count; i++)
    {
      const struct fl_stream_result *r = &fl_load_results (load)[i];
      json_array_append_new (list, result_json (r, (double)plan->duration_ms / 1000.0));
      bad += r->lost + r->doubled + r->false_not_run > 0;
    }
  if (json)
    json_dumpf (list, stdout, JSON_INDENT (2));
  else
    print_table (list);
  if (operator_key != NULL && !json)
    print_probe (fl_load_probe (load));
  json_decref (list);
  fl_load_free (load);
  if (csv != NULL)
    fclose (csv);
  return bad > 0 ? FL_EXIT_FAILED : FL_EXIT_OK;
}

int
main (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "print this text and exit");
  struct arg_str *url = arg_strn ("u", "url", "URL", 0, URLS_MAX, "an entry host; may be repeated");
  struct arg_str *records
      = arg_str0 (NULL, "records", "URL", "stand-in targets, to count lost and doubled work");
  struct arg_str *operator_key
      = arg_str0 (NULL, "operator-key", "KEY", "look at shares and packing each second");
  struct arg_file *csv = arg_file0 (NULL, "csv", "FILE", "write a line each second and stream");
  struct arg_lit *json = arg_lit0 ("j", "json", "print the results as JSON");
  struct arg_file *file = arg_file1 (NULL, NULL, "PLAN", "the load plan, JSON");
  struct arg_end *end = arg_end (5);
  void *table[] = { help, url, records, operator_key, csv, json, file, end };
  const char *urls[URLS_MAX + 1] = { 0 };
  struct fl_problems problems = { 0 };
  struct fl_plan plan = { 0 };
  int code = FL_EXIT_USAGE;
  int errors = arg_parse (argc, argv, table);

  curl_global_init (CURL_GLOBAL_DEFAULT);
  if (help->count > 0)
    {
      printf ("flamingo-bench - sends a load plan and reckons what came of it\n\n"
              "Usage: flamingo-bench");
      arg_print_syntax (stdout, table, "\n\nOptions:\n");
      arg_print_glossary (stdout, table, "  %-24s %s\n");
      puts ("\nWaiting times are to the answer (requests) or to acceptance (jobs); a quantile is\n"
            "the upper end of its bucket, at most 6.25 % above the true value.\n"
            "Exit codes: 0 nothing lost or doubled, 1 something was, 2 bad arguments or plan.");
      code = FL_EXIT_OK;
    }
  else if (errors > 0)
    arg_print_errors (stderr, end, "flamingo-bench");
  else if (!fl_plan_load (file->filename[0], &plan, &problems))
    fprintf (stderr, "flamingo-bench: %zu problem(s):\n%s\n", problems.count,
             fl_str_text (&problems.text));
  else if (url->count == 0 && plan.urls.count == 0)
    fputs ("flamingo-bench: name an entry host with --url or in the plan\n", stderr);
  else
    {
      const struct fl_plan_url *planned = plan.urls.items;
      for (int i = 0; i < url->count; i++)
        urls[i] = url->sval[i];
      for (size_t i = 0; url->count == 0 && i < plan.urls.count; i++)
        urls[i] = planned[i].url.data;
      code = run (&plan, urls, records->count > 0 ? records->sval[0] : NULL,
                  operator_key->count > 0 ? operator_key->sval[0] : NULL,
                  csv->count > 0 ? csv->filename[0] : NULL, json->count > 0);
    }
  fl_schema_clear (&fl_plan_schema, &plan);
  fl_problems_clear (&problems);
  arg_freetable (table, sizeof table / sizeof table[0]);
  return code;
}
