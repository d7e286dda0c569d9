"""Identifiers that the processes exchange."""

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
PromptPartId = NewType("PromptPartId", str)
Fingerprint = NewType("Fingerprint", str)
# Start time of a process in microseconds since 1970; a restart gives a larger one.
Incarnation = NewType("Incarnation", int)
# Id and start time of an upstream: a restart under the same id is another incarnation.
UpstreamIncarnation = NewType("UpstreamIncarnation", tuple[str, int])
FencingNumber = NewType("FencingNumber", int)
RankIndex = NewType("RankIndex", int)
ExpertIndex = NewType("ExpertIndex", int)
StepNumber = NewType("StepNumber", int)
# Number of the store's history; rises each time the store returns from an older copy.
StoreEra = NewType("StoreEra", int)
# Number of a change within one history of the store.
Revision = NewType("Revision", int)
