"""Identifiers of the things that the processes talk about."""

from typing import NewType

TeamId = NewType("TeamId", str)
UpstreamId = NewType("UpstreamId", str)
GroupId = NewType("GroupId", str)
ServiceName = NewType("ServiceName", str)
ModelName = NewType("ModelName", str)
PriorityName = NewType("PriorityName", str)
FailureDomain = NewType("FailureDomain", str)
ProcessId = NewType("ProcessId", str)
RequestId = NewType("RequestId", str)
Fingerprint = NewType("Fingerprint", str)
# An incarnation grows with each start of a process: microseconds since 1970.
Incarnation = NewType("Incarnation", int)
FencingNumber = NewType("FencingNumber", int)
RankIndex = NewType("RankIndex", int)
ExpertIndex = NewType("ExpertIndex", int)
StepNumber = NewType("StepNumber", int)
