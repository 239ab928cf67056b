"""The policy for waiting jobs that a scenario sets."""

import pytest

from hibiscusstack.pool.ordering import OrderingPolicy
from hibiscusstack.pool.ranking import JobOrder
from hibiscusstack_standins.lab.scenario import JobClass, Queueing


def job_class(worth, priority):
    return JobClass(
        share=1, worth=worth, tasks=1, cpu_milli=1, run_ms=1, priority=priority
    )


def test_the_default_is_that_of_the_product():
    assert Queueing().policy([]) == OrderingPolicy()


@pytest.mark.parametrize("order", JobOrder)
def test_every_order_can_be_set(order):
    assert Queueing(order=order.value).policy([]).order is order


def test_the_worth_of_a_priority_is_that_of_its_best_class():
    classes = [job_class(0.5, 2), job_class(0.2, 0), job_class(0.1, 0)]
    assert Queueing().policy(classes).worth_by_priority == (0.2, 0.0, 0.5)
