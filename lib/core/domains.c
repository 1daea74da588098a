/* Evacuation of failure domains: no task starts on their targets, and what runs there goes on.
 *
 * Load pattern: an operator empties a failure domain, for maintenance say, while tasks arrive at
 * the usual rate; the other domains have to take all of them. */
#include <string.h>

#include "core/core_internal.h"

/* A start order takes effect within this unless its target replies slowly, see runs.c. Where less
 * is left of the time in which an evacuation has to hold, no start is ordered. */
#define START_EFFECT_MS 1500
/* Part of this time that is left for the error of the clock of a target: its reply was on its way,
 * and the clock may run 2 % slow. */
#define CLOCK_MARGIN_MS 300
/* A feed that works confirms its rows at least this often: it waits up to 1,000 ms for a change,
 * and the confirmation counts from the time at which the call was sent. */
#define CONFIRMATION_AGE_MS 2300

/* An evacuated failure domain. */
struct evacuation
{
  struct fl_name domain;
  int64_t began_ms; /* when this owner got to know it */
  int64_t runs;     /* left on its targets */
};

static struct evacuation *
find_evacuation (const struct fl_core *core, const struct fl_name *domain)
{
  for (guint i = 0; i < core->evacuations->len; i++)
    {
      struct evacuation *evacuation = &g_array_index (core->evacuations, struct evacuation, i);
      if (fl_name_eq (&evacuation->domain, domain))
        return evacuation;
    }
  return NULL;
}

/* --- age of what is known --- */

/* For how long from now an evacuation that is not known yet does not have to hold. */
static int64_t
unknown_evacuation_slack_ms (const struct fl_core *core)
{
  return core->domains_confirmed_ms + core->options.evacuation_ms - CLOCK_MARGIN_MS - core->now_ms;
}

bool
core_domains_are_known (const struct fl_core *core)
{
  if (core->options.evacuation_ms == 0)
    return true;
  return core->domains_confirmed_ms > 0
         && (unknown_evacuation_slack_ms (core) >= START_EFFECT_MS
             || core->now_ms - core->domains_confirmed_ms <= CONFIRMATION_AGE_MS);
}

int64_t
core_domains_start_deadline_ms (const struct fl_core *core, int64_t deadline_ms)
{
  if (core->options.evacuation_ms == 0)
    return deadline_ms;
  return MIN (deadline_ms, MAX (unknown_evacuation_slack_ms (core), CLOCK_MARGIN_MS));
}

void
fl_core_confirm_domains (struct fl_core *core, int64_t sent_ms)
{
  core->domains_confirmed_ms = MAX (core->domains_confirmed_ms, sent_ms);
}

/* Logs when the knowledge of evacuations becomes too old, and when that ends. */
static void
log_knowledge (struct fl_core *core)
{
  bool known = core_domains_are_known (core);

  if (known != core->domains_were_known)
    fl_log (core->options.log, FL_LOG_NOTICE, known ? "domains_known" : "domains_unknown",
            FL_I ("confirmed_ms_ago", core->now_ms - core->domains_confirmed_ms));
  core->domains_were_known = known;
}

/* --- evacuations --- */

/* @return the number of targets of the evacuated domain @domain. */
static int64_t
count_targets (const struct fl_core *core, const struct fl_name *domain, bool only_cold)
{
  int64_t count = 0;

  for (guint i = 0; i < core->target_list->len; i++)
    {
      const struct core_target *target = g_ptr_array_index (core->target_list, i);
      count += target->registered && fl_name_eq (&target->entry.domain, domain)
               && (!only_cold || fl_warm_up_is_cold (&target->warm_up, core->now_ms));
    }
  return count;
}

static void
set_runs_left (struct fl_core *core, struct evacuation *evacuation, int64_t runs)
{
  g_autofree char *stat
      = g_strdup_printf ("evacuated_domain_runs{domain=\"%s\"}", evacuation->domain.data);

  evacuation->runs = runs;
  fl_stats_set (core->options.stats, stat, runs);
}

/* Counts the runs that are left in each evacuated domain, and logs when the last one is gone. */
static void
count_runs_left (struct fl_core *core)
{
  for (guint i = 0; i < core->evacuations->len; i++)
    {
      struct evacuation *evacuation = &g_array_index (core->evacuations, struct evacuation, i);
      int64_t runs = 0;
      for (guint j = 0; j < core->target_list->len; j++)
        {
          const struct core_target *target = g_ptr_array_index (core->target_list, j);
          if (target->is_evacuated && fl_name_eq (&target->entry.domain, &evacuation->domain))
            runs += target->runs->len;
        }
      if (runs == 0 && evacuation->runs > 0)
        fl_log (core->options.log, FL_LOG_NOTICE, "domain_emptied",
                FL_N ("domain", &evacuation->domain),
                FL_I ("after_ms", core->now_ms - evacuation->began_ms));
      if (runs != evacuation->runs)
        set_runs_left (core, evacuation, runs);
    }
}

void
core_target_update_evacuated (struct core_target *target)
{
  target->is_evacuated = find_evacuation (target->core, &target->entry.domain) != NULL;
}

static void
begin_evacuation (struct fl_core *core, const struct fl_name *domain)
{
  struct evacuation evacuation = { .domain = *domain, .began_ms = core->now_ms };

  g_array_append_val (core->evacuations, evacuation);
  fl_log (core->options.log, FL_LOG_NOTICE, "domain_evacuated", FL_N ("domain", domain),
          FL_I ("targets", count_targets (core, domain, false)));
}

static void
end_evacuation (struct fl_core *core, guint index)
{
  struct evacuation *evacuation = &g_array_index (core->evacuations, struct evacuation, index);

  fl_log (core->options.log, FL_LOG_NOTICE, "domain_taken_back",
          FL_N ("domain", &evacuation->domain),
          FL_I ("after_ms", core->now_ms - evacuation->began_ms),
          FL_I ("targets", count_targets (core, &evacuation->domain, false)),
          FL_I ("cold", count_targets (core, &evacuation->domain, true)),
          FL_I ("runs", evacuation->runs));
  set_runs_left (core, evacuation, 0);
  g_array_remove_index (core->evacuations, index);
}

static bool
is_listed (const struct fl_name *domain, const struct fl_name *domains, size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (fl_name_eq (domain, &domains[i]))
      return true;
  return false;
}

void
fl_core_set_evacuated_domains (struct fl_core *core, const struct fl_name *domains, size_t count)
{
  for (guint i = core->evacuations->len; i > 0; i--)
    if (!is_listed (&g_array_index (core->evacuations, struct evacuation, i - 1).domain, domains,
                    count))
      end_evacuation (core, i - 1);
  for (size_t i = 0; i < count; i++)
    if (find_evacuation (core, &domains[i]) == NULL)
      begin_evacuation (core, &domains[i]);
  for (guint i = 0; i < core->target_list->len; i++)
    core_target_update_evacuated (g_ptr_array_index (core->target_list, i));
  fl_stats_set (core->options.stats, "domains_evacuated", core->evacuations->len);
}

/* A new owner reads rows before its first tick, without a time: they count from this tick. */
static void
date_first_rows (struct fl_core *core)
{
  for (guint i = 0; i < core->evacuations->len; i++)
    g_array_index (core->evacuations, struct evacuation, i).began_ms = core->now_ms;
  for (guint i = 0; i < core->target_list->len; i++)
    {
      struct core_target *target = g_ptr_array_index (core->target_list, i);
      fl_warm_up_update (&target->warm_up, target->entry.cold_left_ms, core->now_ms);
    }
  core->domains_are_dated = true;
}

void
core_domains_tick (struct fl_core *core)
{
  if (!core->domains_are_dated)
    date_first_rows (core);
  log_knowledge (core);
  count_runs_left (core);
}

/* --- creation and dump --- */

void
core_domains_init (struct fl_core *core)
{
  core->evacuations = g_array_new (FALSE, TRUE, sizeof (struct evacuation));
  core->domains_were_known = core_domains_are_known (core);
}

void
core_domains_clear (struct fl_core *core)
{
  g_array_unref (core->evacuations);
}

/* A failure domain in the dump. */
struct domain_row
{
  struct fl_name domain;
  int64_t targets;
  int64_t cold_targets;
  int64_t runs;
};

static struct domain_row *
get_or_add_row (GArray *rows, const struct fl_name *domain)
{
  struct domain_row row = { .domain = *domain };

  for (guint i = 0; i < rows->len; i++)
    if (fl_name_eq (&g_array_index (rows, struct domain_row, i).domain, domain))
      return &g_array_index (rows, struct domain_row, i);
  g_array_append_val (rows, row);
  return &g_array_index (rows, struct domain_row, rows->len - 1);
}

void
core_domains_dump (const struct fl_core *core, GString *out)
{
  g_autoptr (GArray) rows = g_array_new (FALSE, FALSE, sizeof (struct domain_row));

  for (guint i = 0; i < core->evacuations->len; i++)
    get_or_add_row (rows, &g_array_index (core->evacuations, struct evacuation, i).domain);
  for (guint i = 0; i < core->target_list->len; i++)
    {
      const struct core_target *target = g_ptr_array_index (core->target_list, i);
      struct domain_row *row = get_or_add_row (rows, &target->entry.domain);
      row->targets++;
      row->cold_targets += fl_warm_up_is_cold (&target->warm_up, core->now_ms);
      row->runs += target->runs->len;
    }
  for (guint i = 0; i < rows->len; i++)
    {
      const struct domain_row *row = &g_array_index (rows, struct domain_row, i);
      const struct evacuation *evacuation = find_evacuation (core, &row->domain);
      g_string_append_printf (
          out,
          "{\"domain\":\"%s\",\"evacuated\":%s,\"evacuated_ms\":%" G_GINT64_FORMAT
          ",\"targets\":%" G_GINT64_FORMAT ",\"cold\":%" G_GINT64_FORMAT
          ",\"runs\":%" G_GINT64_FORMAT "}\n",
          row->domain.data, evacuation != NULL ? "true" : "false",
          evacuation != NULL ? core->now_ms - evacuation->began_ms : 0, row->targets,
          row->cold_targets, row->runs);
    }
}
