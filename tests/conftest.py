"""Random steps are the same in every run, and no test is judged by the machine's speed."""

from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None, database=None, max_examples=60)
settings.load_profile("same")
