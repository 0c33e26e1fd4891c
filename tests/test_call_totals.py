from trefoilpick._call_totals import Call, CallResult, total_calls


def test_call_results_are_compared_with_runs() -> None:
    calls = [
        Call("whole", False, CallResult.ANSWERED),
        Call("lost", True, CallResult.ANSWERED),
        Call("lie", True, CallResult.NOT_RUN),
        Call("twice", False, CallResult.UNKNOWN),
        Call("again", True, CallResult.ANSWERED),
        Call("short", True, CallResult.CUT),
    ]
    totals = total_calls(calls, {"whole": 1, "lie": 1, "twice": 2, "again": 2, "short": 1})
    assert (totals.sent, totals.answered, totals.not_run, totals.unknown) == (6, 3, 1, 1)
    assert (totals.lost, totals.doubled, totals.cut, totals.false_not_run) == (1, 1, 1, 1)
