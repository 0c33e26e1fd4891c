from trefoilpick._ledger import Call, CallEnd, total_calls


def test_call_results_are_compared_with_runs() -> None:
    calls = [
        Call("whole", False, CallEnd.ANSWERED),
        Call("lost", True, CallEnd.ANSWERED),
        Call("lie", True, CallEnd.NOT_RUN),
        Call("twice", False, CallEnd.UNKNOWN),
        Call("again", True, CallEnd.ANSWERED),
        Call("short", True, CallEnd.CUT),
    ]
    totals = total_calls(calls, {"whole": 1, "lie": 1, "twice": 2, "again": 2, "short": 1})
    assert (totals.sent, totals.answered, totals.not_run, totals.unknown) == (6, 3, 1, 1)
    assert (totals.lost, totals.doubled, totals.cut, totals.false_not_run) == (1, 1, 1, 1)
