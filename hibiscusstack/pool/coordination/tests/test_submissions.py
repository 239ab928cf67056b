"""Jobs that hosts hand over while the coordinator has more to do than it can."""

from hibiscusstack.pool.messages import JobEnd
from hibiscusstack.pool.tests.site import Site, make_job


def busy_site():
    """Return a site with a run of one job, whose coordinator is overloaded."""
    site = Site("t1")
    site.take("t1")
    site.submit(make_job("j"))
    site.coordinator.note_load(True)
    return site


def test_an_overloaded_coordinator_refuses_new_jobs_at_once():
    site = busy_site()
    site.submit(make_job("new"))
    (answer,) = site.answers
    assert answer.end is JobEnd.REFUSED and answer.retry_ms > 0
    assert len(site.starts) == 1 and site.coordinator.job_count == 1


def test_jobs_that_are_known_or_may_have_begun_are_taken():
    site = busy_site()
    site.submit(make_job("j"))
    site.submit(make_job("handed-on"), unheard_ms=0)
    assert site.answers == [] and site.coordinator.job_count == 2


def test_jobs_are_taken_again_when_the_load_is_gone():
    site = busy_site()
    site.coordinator.note_load(False)
    site.submit(make_job("new"))
    assert site.answers == [] and len(site.starts) == 2
