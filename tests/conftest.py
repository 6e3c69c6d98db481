"""Fixtures that every test may use."""

import pytest


@pytest.fixture
def anyio_backend() -> str:
    """Runs async tests on the asyncio backend alone."""
    return "asyncio"
