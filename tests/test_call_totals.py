from trefoilpick._call_totals import Call, CallResult, total_calls


def test_call_results_are_compared_with_runs() -> None:
    calls = [
        Call("answered", False, CallResult.ANSWERED),
        Call("lost", True, CallResult.ANSWERED),
        Call("false not run", True, CallResult.NOT_RUN),
        Call("doubled", False, CallResult.UNKNOWN),
        Call("retried", True, CallResult.ANSWERED),
        Call("cut", True, CallResult.CUT),
    ]
    totals = total_calls(
        calls, {"answered": 1, "false not run": 1, "doubled": 2, "retried": 2, "cut": 1}
    )
    assert (totals.sent, totals.answered, totals.not_run, totals.unknown) == (6, 3, 1, 1)
    assert (totals.lost, totals.doubled, totals.cut, totals.false_not_run) == (1, 1, 1, 1)
