/* The order in which waiting work is placed. */
#pragma once

/* What a job can still reach. */
enum fl_order_class
{
  FL_ORDER_IN_TIME, /* it can meet its objective, or has none */
  FL_ORDER_LATE,    /* its result will be late, but of use */
  FL_ORDER_EXPIRED  /* its result is of no use in time; it still has to end */
};
