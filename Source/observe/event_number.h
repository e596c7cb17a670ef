// The numbers of the events that the logs name. A number is never reused for
// another event. They are grouped by hundreds; docs/events.md is their
// catalogue for operators.
#ifndef BURDOCKROCK_OBSERVE_EVENT_NUMBER_H_
#define BURDOCKROCK_OBSERVE_EVENT_NUMBER_H_

namespace burdockrock {

enum class Level { kDebug, kInfo, kWarning, kError };

enum class EventNumber : int {
  // Process
  kStarted = 101,
  kStopping = 102,
  kStopped = 103,
  kSettingsRefused = 104,
  kListening = 105,
  kDumpServed = 106,
  kSettingsReloaded = 107,

  // Callers
  kMalformedRequest = 201,
  kRequestTooLarge = 202,
  kSlowClientCut = 203,
  kTooManyConnections = 204,
  kRequestRefused = 205,
  kMayHaveRunAnswered = 206,
  kJobAccepted = 207,
  kJobEnded = 208,
  kCancel = 209,
  kJobRepeated = 210,
  kQuestionUnanswered = 211,
  kCancelAcknowledged = 212,
  kCancelOver = 213,
  kCancelLate = 214,
  kRequestCutOff = 215,

  // Membership and ownership
  kPeerUp = 301,
  kPeerSilent = 302,
  kPeerLeaving = 303,
  kWorkerClaimed = 304,
  kClaimRefused = 305,
  kOwnershipLost = 306,
  kWorkerHandedOver = 307,
  kWorkerSilent = 308,
  kWorkerRemoved = 309,
  kPeerMalformed = 310,
  kWorkerMalformed = 311,
  kRegistered = 312,
  kRegistrationLost = 313,
  kWorkerLeaving = 314,
  kWorkerGone = 315,
  kClaimWaits = 316,
  kWorkerBack = 317,
  kOffersUnanswered = 318,
  kWorkerClosed = 319,
  kWorkerOpened = 320,
  kWorkerRestarted = 321,
  kPeerMessagesLost = 322,
  kQuotaSettled = 323,
  kWorkerEndsCut = 324,
  kWorkerEndsRead = 325,
  kProcessorShort = 326,
  kLaterProcessAnswered = 327,
  kRunsInDoubt = 328,
  kGrantUnapplied = 329,

  // Platform and durable logs
  kPlatformUnreachable = 401,
  kPlatformBack = 402,
  kPlatformMalformed = 403,
  kAppendConflict = 404,
  kLostAnswerSettled = 405,
  kLogFenced = 406,
  kLogAdopted = 407,
  kLogCompacted = 408,
  kWriteBudgetReached = 409,
  kAdviceFailed = 410,
  kJobAdopted = 411,
  kJobLost = 412,
  kJobRecovered = 413,
  kJobRecovering = 414,
  kAdviceUsed = 415,
  kWriteRejected = 416,
  kRecordShortened = 417,
  kEndsNotStored = 418,

  // Tasks
  kAttemptLost = 501,
  kAttemptRestarted = 502,
  kGangStarted = 503,
  kGangBackedOff = 504,
  kWorkerQuarantined = 505,
  kWorkerReleased = 506,
  kJobJudgedBad = 507,
  kQuarantineCapReached = 508,
  kRunEnded = 509,
  kStartRefused = 510,
  kPaced = 511,
  kRunStandsStill = 512,
  kPreempted = 513,
  kStopUnanswered = 514,
  kRunsDone = 515,
  kTasksWait = 516,
  kTaskCrashed = 517,
  kOccurrencesHeld = 518,
  kOccurrencesReleased = 519,
  kCrashesExcused = 520,

  // Configuration
  kConfigurationApplied = 601,
  kConfigurationRefusedOlder = 602,
  kConfigurationInvalid = 603,
  kConfigurationAwaited = 604,
  kConfigurationConflict = 605,

  // Planned stop
  kDrainStarted = 701,
  kHandedOver = 702,
  kDrainComplete = 703,

  // Upkeep of machines
  kWaveSeen = 801,
  kUpkeepOrdered = 802,
  kUpkeepWaits = 803,
  kWaveTold = 804,
  kMachinesUnanswered = 805,
  kMachineMoved = 806,
};

// What the catalogue says of one event.
struct EventInfo {
  EventNumber number;
  Level level;
  const char* name;     // snake_case, unique
  const char* meaning;  // one sentence for operators, without a full stop
};

}  // namespace burdockrock

#endif  // BURDOCKROCK_OBSERVE_EVENT_NUMBER_H_
