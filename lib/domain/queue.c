/* Order of work: by priority, then by the team that is furthest below its share, then by arrival.
 */
#include "domain/domain_internal.h"

/* --- queues --- */

static void
set_active (struct fl_domain *domain, struct fl_account *account, enum fl_priority priority)
{
  if (account->active[priority])
    return;
  account->active[priority] = true;
  g_ptr_array_add (domain->active[priority], account);
}

void
fl_work_enqueue (struct fl_domain *domain, struct fl_work *work, bool front, int64_t now_ms)
{
  struct fl_account *account = work->account;
  GQueue *queue = &account->waiting[work->priority];

  if (work->queued)
    return;
  work->link.data = work;
  if (front)
    g_queue_push_head_link (queue, &work->link);
  else
    g_queue_push_tail_link (queue, &work->link);
  work->queued = true;
  work->queued_ms = now_ms;
  set_active (domain, account, work->priority);
  if (front || queue->length <= FL_BACKFILL_DEPTH)
    account->blocked_at[work->priority] = 0;
}

void
fl_work_dequeue (struct fl_work *work)
{
  if (!work->queued)
    return;
  g_queue_unlink (&work->account->waiting[work->priority], &work->link);
  work->queued = false;
}

/* --- choosing a team --- */

static bool
may_start (const struct fl_domain *domain,
           const struct fl_account *account,
           enum fl_priority priority)
{
  return account->waiting[priority].length > 0
         && account->blocked_at[priority] != fl_pool_generation (domain->pool) + 1
         && fl_account_headroom (domain, account) > 0;
}

/* Compares cost/share without division. */
bool
fl_account_is_poorer (const struct fl_account *a, const struct fl_account *b)
{
  __int128 left = (__int128)(a->cost + a->remote_cost) * b->share;
  __int128 right = (__int128)(b->cost + b->remote_cost) * a->share;

  if (left != right)
    return left < right;
  return a->running < b->running;
}

static struct fl_account *
pick_account (struct fl_domain *domain, enum fl_priority priority)
{
  GPtrArray *active = domain->active[priority];
  struct fl_account *best = NULL;

  for (guint i = 0; i < active->len;)
    {
      struct fl_account *account = active->pdata[i];
      if (account->waiting[priority].length == 0)
        {
          account->active[priority] = false;
          g_ptr_array_remove_index_fast (active, i);
          continue;
        }
      if (may_start (domain, account, priority)
          && (best == NULL || fl_account_is_poorer (account, best)))
        best = account;
      i++;
    }
  return best;
}

/* --- placing --- */

static bool
place (struct fl_domain *domain, struct fl_work *work, int64_t now_ms)
{
  if (work->kind == FL_WORK_REQUEST)
    return fl_request_place (domain, (struct fl_request *)work, now_ms);
  return fl_job_place (domain, (struct fl_job *)work, now_ms);
}

/* Tries the first few elements of the team's queue: what does not fit must not block the rest. */
static bool
place_first_that_fits (struct fl_domain *domain,
                       struct fl_account *account,
                       enum fl_priority priority,
                       int64_t now_ms)
{
  GList *link = account->waiting[priority].head;

  /* An element that does not fit may still use up headroom: urgent work reserves room. */
  for (int i = 0;
       link != NULL && i < FL_BACKFILL_DEPTH && fl_account_headroom (domain, account) > 0; i++)
    {
      GList *next = link->next;
      if (place (domain, link->data, now_ms))
        return true;
      link = next;
    }
  return false;
}

void
fl_domain_schedule (struct fl_domain *domain, int64_t now_ms)
{
  if (!domain->loaded || domain->draining
      || !domain->options.ops.may_act (domain->options.ops.context))
    return;
  for (int p = 0; p < FL_PRIORITIES; p++)
    {
      struct fl_account *account;
      while ((account = pick_account (domain, p)) != NULL)
        if (!place_first_that_fits (domain, account, p, now_ms))
          account->blocked_at[p] = fl_pool_generation (domain->pool) + 1;
    }
}
