@0xd8a3c1f5b7e24690;

# Messages between the processes of the system. Each struct matches the
# dataclass of the same name, field by field. New fields go to the end.

struct Envelope {
  # What one frame carries. Message id 0 stands for a message that is not
  # numbered and not acknowledged.

  messageId @0 :Int64;
  ackId @1 :Int64;
  incarnation @2 :Int64;

  union {
    hello @3 :Hello;
    challenge @4 :Challenge;
    proof @5 :Proof;
    welcome @6 :Welcome;
    refusal @7 :Refusal;
    ping @8 :Ping;
    goodbye @9 :Goodbye;
    agentHeartbeat @10 :AgentHeartbeat;
    agentLeave @11 :AgentLeave;
    heartbeatReply @12 :HeartbeatReply;
    fetchConfiguration @13 :FetchConfiguration;
    configurationDocument @14 :ConfigurationDocument;
    startTask @15 :StartTask;
    taskStarted @16 :TaskStarted;
    taskEnded @17 :TaskEnded;
    cancelTask @18 :CancelTask;
    preemptTask @19 :PreemptTask;
    forbidTask @20 :ForbidTask;
    taskForbidden @21 :TaskForbidden;
    prepareGang @22 :PrepareGang;
    releaseGang @23 :ReleaseGang;
    memberPrepared @24 :MemberPrepared;
    memberRefused @25 :MemberRefused;
    startMember @26 :StartMember;
    memberAlive @27 :MemberAlive;
    memberEnded @28 :MemberEnded;
    stopMember @29 :StopMember;
    digest @30 :Digest;
    submitWork @31 :SubmitWork;
    workEnded @32 :WorkEnded;
    cancelWork @33 :CancelWork;
    fetchOutcome @34 :FetchOutcome;
    handOver @35 :HandOver;
    burnReport @36 :BurnReport;
    workerReport @37 :WorkerReport;
    workerOrders @38 :WorkerOrders;
    entryNotice @39 :EntryNotice;
    entryCall @40 :EntryCall;
    entryReply @41 :EntryReply;
  }
}

enum Role {
  entry @0;
  agent @1;
}

struct Hello {
  role @0 :Role;
  name @1 :Text;
  incarnation @2 :Int64;
  nonce @3 :Data;
}

struct Challenge {
  role @0 :Role;
  name @1 :Text;
  incarnation @2 :Int64;
  nonce @3 :Data;
  sessionId @4 :Int64;
  peerSessionId @5 :Int64;
  mac @6 :Data;
}

struct Proof {
  sessionId @0 :Int64;
  peerSessionId @1 :Int64;
  mac @2 :Data;
}

struct Welcome {
}

enum ErrorKind {
  malformedRequest @0;
  headTooLarge @1;
  bodyTooLarge @2;
  tooManyRequests @3;
  slowSender @4;
  unauthenticated @5;
  forbidden @6;
  unknownService @7;
  unknownMethod @8;
  unknownRequest @9;
  methodNotAllowed @10;
  idempotencyKeyReused @11;
  idempotencyKeyInUse @12;
  queueFull @13;
  deadlineUnreachable @14;
  deadlinePassed @15;
  neverFits @16;
  noWorker @17;
  retryBudgetSpent @18;
  attemptsSpent @19;
  cancelled @20;
  stopping @21;
  overShare @22;
  noCapacity @23;
  backendFailed @24;
  backendUnreachable @25;
  workerLost @26;
  memoryExceeded @27;
  preempted @28;
  gangStopped @29;
  outcomeUnknown @30;
  outcomeExpired @31;
  staleIncarnation @32;
  staleEpoch @33;
  claimTaken @34;
  badFrame @35;
  badHandshake @36;
  storeUnavailable @37;
  storeConflict @38;
  invalidTicket @39;
  ticketSuperseded @40;
  ticketNumberReused @41;
  guaranteesDoNotPack @42;
  configurationTooLarge @43;
  invalidSettings @44;
  internal @45;
  unknownJob @46;
  unknownQueue @47;
}

enum Ran {
  no @0;
  unknown @1;
  yes @2;
}

struct Error {
  kind @0 :ErrorKind;
  detail @1 :Text;
  ran @2 :Ran;
  retryAfterMs @3 :Int64;
}

struct Refusal {
  error @0 :Error;
}

struct Ping {
}

struct Goodbye {
}

enum BackendHealth {
  absent @0;
  healthy @1;
  failing @2;
  leaving @3;
}

struct Resources {
  slots @0 :Int64;
  accelerators @1 :Int64;
  processors @2 :Int64;
  memoryMb @3 :Int64;
}

enum RequestClass {
  urgent @0;
  interactive @1;
  batch @2;
}

enum TaskPhase {
  staged @0;
  running @1;
  stopping @2;
}

struct TaskState {
  requestId @0 :Text;
  attempt @1 :Int64;
  account @2 :Text;
  service @3 :Text;
  method @4 :Text;
  requestClass @5 :RequestClass;
  phase @6 :TaskPhase;
  resources @7 :Resources;
  positions @8 :List(Int64);
  isCheckpointable @9 :Bool;
  isIdempotent @10 :Bool;
  isGang @11 :Bool;
  declaredRunMs @12 :Int64;
  ageMs @13 :Int64;
  peakMemoryMb @14 :Int64;
}

struct WorkerState {
  worker @0 :Text;
  incarnation @1 :Int64;
  dataCentre @2 :Text;
  rack @3 :Text;
  address @4 :Text;
  services @5 :List(Text);
  health @6 :BackendHealth;
  capacity @7 :Resources;
  tasks @8 :List(TaskState);
  version @9 :Int64;
}

struct AgentHeartbeat {
  worker @0 :Text;
  incarnation @1 :Int64;
  configVersion @2 :Int64;
  state @3 :WorkerState;
}

struct AgentLeave {
  worker @0 :Text;
  incarnation @1 :Int64;
  version @2 :Int64;
}

struct EntryInfo {
  name @0 :Text;
  incarnation @1 :Int64;
  address @2 :Text;
}

struct HeartbeatReply {
  configVersion @0 :Int64;
  entries @1 :List(EntryInfo);
  wantsState @2 :Bool;
}

struct FetchConfiguration {
  configVersion @0 :Int64;
}

struct ConfigurationDocument {
  configVersion @0 :Int64;
  document @1 :Data;
}

enum Adjacency {
  any @0;
  rack @1;
  worker @2;
}

struct Demand {
  accelerators @0 :Int64;
  adjacency @1 :Adjacency;
  processors @2 :Int64;
  memoryMb @3 :Int64;
}

struct Work {
  requestId @0 :Text;
  account @1 :Text;
  service @2 :Text;
  method @3 :Text;
  requestClass @4 :RequestClass;
  demand @5 :Demand;
  contentType @6 :Text;
  body @7 :Data;
  isIdempotent @8 :Bool;
  isCheckpointable @9 :Bool;
  declaredRunMs @10 :Int64;
  deadlineMs @11 :Int64;
}

struct Epoch {
  revision @0 :Int64;
  sub @1 :Int64;
  entry @2 :Text;
}

struct StartTask {
  work @0 :Work;
  attempt @1 :Int64;
  incarnation @2 :Int64;
  epoch @3 :Epoch;
  isClaimed @4 :Bool;
}

struct TaskStarted {
  requestId @0 :Text;
  attempt @1 :Int64;
}

struct Outcome {
  error @0 :Error;
  status @1 :Int64;
  contentType @2 :Text;
  body @3 :Data;
  runMs @4 :Int64;
  peakMemoryMb @5 :Int64;
  isCheckpointed @6 :Bool;
}

struct TaskEnded {
  requestId @0 :Text;
  attempt @1 :Int64;
  outcome @2 :Outcome;
}

struct CancelTask {
  requestId @0 :Text;
  attempt @1 :Int64;
}

struct PreemptTask {
  requestId @0 :Text;
  attempt @1 :Int64;
  graceMs @2 :Int64;
  forAccount @3 :Text;
  epoch @4 :Epoch;
}

struct ForbidTask {
  requestId @0 :Text;
}

struct TaskForbidden {
  requestId @0 :Text;
  hasStarted @1 :Bool;
}

struct GangMember {
  worker @0 :Text;
  incarnation @1 :Int64;
  address @2 :Text;
  accelerators @3 :Int64;
}

struct PrepareGang {
  work @0 :Work;
  attempt @1 :Int64;
  members @2 :List(GangMember);
  member @3 :Int64;
  leaseMs @4 :Int64;
  epoch @5 :Epoch;
  isClaimed @6 :Bool;
}

struct ReleaseGang {
  requestId @0 :Text;
  attempt @1 :Int64;
}

struct MemberPrepared {
  requestId @0 :Text;
  attempt @1 :Int64;
  member @2 :Int64;
}

struct MemberRefused {
  requestId @0 :Text;
  attempt @1 :Int64;
  member @2 :Int64;
  error @3 :Error;
}

struct StartMember {
  requestId @0 :Text;
  attempt @1 :Int64;
}

struct MemberAlive {
  requestId @0 :Text;
  attempt @1 :Int64;
  member @2 :Int64;
}

struct MemberEnded {
  requestId @0 :Text;
  attempt @1 :Int64;
  member @2 :Int64;
  outcome @3 :Outcome;
}

struct StopMember {
  requestId @0 :Text;
  attempt @1 :Int64;
}

struct ShardInfo {
  account @0 :Text;
  epoch @1 :Epoch;
}

struct AccountPressure {
  account @0 :Text;
  waiting @1 :Int64;
  isBelowGuarantee @2 :Bool;
  oldestWaitMs @3 :Int64;
}

struct AgentAlive {
  worker @0 :Text;
  incarnation @1 :Int64;
  configVersion @2 :Int64;
  ageMs @3 :Int64;
}

struct Digest {
  entry @0 :EntryInfo;
  configVersion @1 :Int64;
  shards @2 :List(ShardInfo);
  pressures @3 :List(AccountPressure);
  agents @4 :List(AgentAlive);
  states @5 :List(WorkerState);
  left @6 :List(AgentLeave);
  isDraining @7 :Bool;
  steadyAgeMs @8 :Int64;
}

struct SubmitWork {
  work @0 :Work;
  isJournaled @1 :Bool;
}

struct WorkEnded {
  requestId @0 :Text;
  outcome @1 :Outcome;
}

struct CancelWork {
  account @0 :Text;
  requestIds @1 :List(Text);
}

struct FetchOutcome {
  requestId @0 :Text;
}

struct HandOver {
  account @0 :Text;
  epoch @1 :Epoch;
  queue @2 :List(Work);
}

struct BurnCounts {
  objective @0 :Text;
  bucket @1 :Int64;
  good @2 :Int64;
  bad @3 :Int64;
}

struct BurnReport {
  entry @0 :Text;
  incarnation @1 :Int64;
  counts @2 :List(BurnCounts);
}

struct RunningTask {
  task @0 :Text;
  runNumber @1 :Int64;
  checkpoint @2 :Text;
  progress @3 :Int64;
}

struct EndedTask {
  sequence @0 :Int64;
  task @1 :Text;
  runNumber @2 :Int64;
  how @3 :Text;
  checkpoint @4 :Text;
}

struct RunRef {
  task @0 :Text;
  runNumber @1 :Int64;
}

struct CrashedRun {
  worker @0 :Text;
  boot @1 :Int64;
  task @2 :Text;
  runNumber @3 :Int64;
  ageMs @4 :Int64;
}

struct WorkerReport {
  worker @0 :Text;
  boot @1 :Int64;
  service @2 :Text;
  dataCentre @3 :Text;
  rack @18 :Text;
  labels @4 :List(Text);
  cpuMillis @5 :Int64;
  memoryMb @6 :Int64;
  accelerators @7 :Int64;
  isDraining @8 :Bool;
  remainingMs @9 :Int64;
  generation @10 :Int64;
  ordersSequence @11 :Int64;
  sentMs @12 :Int64;
  isListed @13 :Bool;
  isAlive @14 :Bool;
  running @15 :List(RunningTask);
  ended @16 :List(EndedTask);
  starting @17 :List(RunRef);
  warmupLeftMs @19 :Int64;
  speedPermille @20 :Int64;
  listsAgeMs @21 :Int64;
  crashedRuns @22 :List(CrashedRun);
  isPartial @23 :Bool;
}

struct StartRun {
  task @0 :Text;
  runNumber @1 :Int64;
  payload @2 :Text;
  checkpoint @3 :Text;
}

struct WorkerOrders {
  generation @0 :Int64;
  sequence @1 :Int64;
  worker @2 :Text;
  boot @3 :Int64;
  echoMs @4 :Int64;
  observed @5 :Int64;
  starts @6 :List(StartRun);
  stops @7 :List(RunRef);
  speedPermille @8 :Int64;
}

struct EntryNotice {
  address @0 :Text;
  leader @1 :Text;
  leaderAddress @2 :Text;
  leaderGeneration @3 :Int64;
  isLeading @4 :Bool;
  isStopping @5 :Bool;
  catalogueVersion @6 :Int64;
  entries @7 :List(Text);
}

struct EntryCall {
  callId @0 :Int64;
  kind @1 :Text;
  argument @2 :Text;
  body @3 :Data;
}

struct EntryReply {
  callId @0 :Int64;
  error @1 :Text;
  body @2 :Data;
}
