/* Services: the replicas that this domain is to run. */
#include "domain/domain_internal.h"

static struct fl_name
service_job_id (const struct fl_domain *domain, const struct fl_service *service)
{
  return fl_name_format ("svc.%s@%s", service->name.data, domain->options.name.data);
}

static void
scale (struct fl_domain *domain, struct fl_job *job, int32_t wanted, int64_t now_ms)
{
  int32_t before = job->wanted;

  job->wanted = wanted;
  fl_job_grow (job, wanted);
  g_array_set_size (job->ready, 0);
  for (int32_t i = job->task_count - 1; i >= 0; i--)
    {
      struct fl_task *task = job->tasks[i];
      bool idle = task->state == FL_TASK_WAITING || task->state == FL_TASK_FAILED;
      if (i < wanted && idle)
        {
          task->state = FL_TASK_WAITING;
          g_array_append_val (job->ready, i);
        }
      else if (i >= wanted && task->state == FL_TASK_RUNNING)
        fl_task_stop (domain, task, true, FL_STOP_KILL, now_ms);
    }
  if (job->ready->len > 0)
    fl_work_enqueue (domain, &job->work, before == 0, now_ms);
  else
    fl_work_dequeue (&job->work);
}

/* An earlier owner may have started them. */
static void
hold_replicas (struct fl_domain *domain, struct fl_job *job, int32_t wanted)
{
  fl_job_grow (job, wanted);
  for (int32_t i = 0; i < job->task_count; i++)
    {
      job->tasks[i]->state = FL_TASK_HELD;
      job->work.account->unconfirmed++;
      domain->held++;
    }
}

struct service_visit
{
  struct fl_domain *domain;
  GHashTable *seen; /* keys of jobs that a service stands for */
  int64_t now_ms;
};

static void
update_service (void *context, const void *object)
{
  struct service_visit *visit = context;
  struct fl_domain *domain = visit->domain;
  const struct fl_service *service = object;
  int64_t n = domain->service_domains;
  int32_t wanted
      = (int32_t)(service->replicas / n + (domain->service_rank < service->replicas % n ? 1 : 0));
  struct fl_job_spec spec = { .id = service_job_id (domain, service),
                              .tasks = 0,
                              .demand = service->demand,
                              .attempts = 1,
                              .payload = service->payload };
  struct fl_job *job = fl_domain_find_job (domain, &service->team, &spec.id);

  if (job == NULL)
    {
      job = fl_job_new (domain, &service->team, &spec, FL_WORK_SERVICE, service->priority,
                        visit->now_ms);
      job->state = FL_JOB_ACTIVE;
      job->wanted = 0;
      if (!domain->recovered)
        hold_replicas (domain, job, wanted);
    }
  g_hash_table_add (visit->seen, &job->key);
  scale (domain, job, wanted, visit->now_ms);
}

void
fl_domain_update_services (struct fl_domain *domain, int64_t now_ms)
{
  g_autoptr (GHashTable) seen = g_hash_table_new (fl_name_hash, fl_name_equal);
  struct service_visit visit = { domain, seen, now_ms };
  GHashTableIter iter;
  struct fl_job *job;

  if (domain->config == NULL)
    return;
  fl_config_each (domain->config, FL_OBJECT_SERVICE, update_service, &visit);
  g_hash_table_iter_init (&iter, domain->jobs);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&job))
    if (job->work.kind == FL_WORK_SERVICE && !g_hash_table_contains (seen, &job->key))
      scale (domain, job, 0, now_ms);
}
