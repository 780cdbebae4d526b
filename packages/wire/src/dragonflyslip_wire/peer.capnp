@0xd3a7c41f5be2960d;

# Messages between entry instances. A frame is a 4-byte little-endian length
# and one packed PeerMessage. Ages are in milliseconds before the message was
# written, because the monotonic clocks of two instances are not comparable.

struct PeerMessage {
  protocolVersion @0 :UInt16;
  union {
    hello @1 :Hello;
    heartbeat @2 :Heartbeat;
    notice @3 :Notice;
    noticeAck @4 :NoticeAck;
    configPull @5 :ConfigPull;
    configPush @6 :ConfigPush;
    answerQuery @7 :AnswerQuery;
    answer @8 :Answer;
    feedSubscribe @9 :FeedSubscribe;
    feedStatus @10 :FeedStatus;
    feedPull @11 :FeedPull;
    feedPush @12 :FeedPush;
    rolloutReport @13 :RolloutReport;
    rolloutAdvice @14 :RolloutAdvice;
    quotaAsk @15 :QuotaAsk;
    quotaGrant @16 :QuotaGrant;
  }
}

struct EntryId {
  name @0 :Text;
  incarnation @1 :UInt64;
}

struct Hello {
  sender @0 :EntryId;
  failureDomain @1 :Text;
  # Port on which the sender serves callers, at the address of its peer port.
  # 0 if it serves none.
  callerPort @2 :UInt16;
  # The entry that the sender expects to be the recipient; null if any may be.
  recipient @3 :EntryId;
  # Whether the recipient is to answer with a hello of its own.
  wantsReply @4 :Bool;
}

struct Heartbeat {
  sender @0 :EntryId;
  sequence @1 :UInt64;
  # Last sequence number that the sender received from the recipient, 0 if
  # none.
  echo @2 :UInt64;
  # Digest of the sender's list of members, and time since it last changed.
  viewDigest @3 :Data;
  viewAgeMs @4 :UInt32;
  draining @5 :Bool;
  configThrough @6 :UInt64;
  configDigest @7 :Data;
  # Age of the last read that reached the end of the log; 0xffffffff if the
  # sender knows of none.
  logReadAgeMs @8 :UInt32;
  targets @9 :List(TargetFact);
  marks @10 :List(CrashMark);
}

struct TargetFact {
  targetId @0 :Text;
  bootId @1 :Text;
  warm @2 :Bool;
  # Concurrent requests that the warm-up of the sender allows; 0 if the sender
  # does not hold the target or the target is warm.
  level @3 :UInt16;
  ageMs @4 :UInt32;
}

struct CrashMark {
  targetId @0 :Text;
  bootId @1 :Text;
  failureDomain @2 :Text;
  ageMs @3 :UInt32;
  ttlMs @4 :UInt32;
  # One fingerprint of 16 bytes for each request that was in flight.
  fingerprints @5 :List(Data);
}

struct Notice {
  noticeId @0 :UInt64;
  targets @1 :List(TargetFact);
  marks @2 :List(CrashMark);
}

struct NoticeAck {
  noticeId @0 :UInt64;
}

struct ConfigPull {
  # Offset of the last record that the sender has applied; it requests a newer
  # configuration.
  through @0 :UInt64;
}

struct ConfigPush {
  # Offset of the last record that the configuration contains.
  through @0 :UInt64;
  # Digest of the whole configuration.
  digest @1 :Data;
  # One part of the configuration as JSON text; a large configuration needs
  # several frames.
  body @2 :Data;
  part @3 :UInt16;
  parts @4 :UInt16;
}

struct AnswerQuery {
  service @0 :Text;
  keyHash @1 :Data;
  claimId @2 :Text;
}

struct Answer {
  enum State {
    unknown @0;
    running @1;
    released @2;
    stored @3;
  }

  struct Header {
    name @0 :Data;
    value @1 :Data;
  }

  claimId @0 :Text;
  state @1 :State;
  status @2 :UInt16;
  headers @3 :List(Header);
  body @4 :Data;
}

struct FeedSubscribe {
  sender @0 :EntryId;
  # The entry that the sender expects to be the recipient.
  provider @1 :EntryId;
}

struct FeedStatus {
  struct Feed {
    name @0 :Text;
    # Offset after the last record that the sender has, in the era below.
    through @1 :UInt64;
    # Time since that offset was the end of the log.
    ageMs @2 :UInt32;
    # How many times the log had come back from an older copy of itself.
    era @3 :UInt32;
  }

  feeds @0 :List(Feed);
  # Live entries that the sender knows of, itself included.
  entries @1 :UInt32;
}

struct FeedPull {
  name @0 :Text;
  # First offset of the requested changes; used only if hasStart is set,
  # otherwise everything is requested.
  start @1 :UInt64;
  hasStart @2 :Bool;
  # Era of start.
  era @3 :UInt32;
}

struct FeedPush {
  struct Record {
    key @0 :Text;
    value @1 :Data;
    offset @2 :UInt64;
    # Whether the record deletes its key.
    dropped @3 :Bool;
  }

  name @0 :Text;
  # First offset from which all changes are included; 0 if complete.
  start @1 :UInt64;
  # Offset after the last record that was examined.
  through @2 :UInt64;
  # Whether the records contain all keys, so that others have no record.
  complete @3 :Bool;
  # FeedRecords, packed and then compressed with zlib.
  records @4 :Data;
  # Era of start, through and the offsets of all records.
  era @5 :UInt32;
}

struct FeedRecords {
  records @0 :List(FeedPush.Record);
}

# Position of a record in a feed.
struct Position {
  # How many times the feed had come back from an older copy of itself.
  era @0 :UInt32;
  offset @1 :UInt64;
}

struct RolloutReport {
  struct Cell {
    stage @0 :UInt8;
    # Index in routes.
    route @1 :UInt16;
    # One more than the index in targets, 0 for the control group.
    target @2 :UInt16;
    failures @3 :UInt32;
    # Number of the first bucket of response times in use, and the counts from
    # it on.
    firstBucket @4 :UInt8;
    buckets @5 :List(UInt32);
  }

  service @0 :Text;
  # The entry that sends the message; not the reporter if it forwards it.
  sender @1 :Text;
  reporter @2 :Text;
  incarnation @3 :UInt64;
  # Position of the order.
  order @4 :Position;
  sequence @5 :UInt64;
  # The report has all cells that changed after the one with this sequence.
  since @6 :UInt64;
  stage @7 :UInt8;
  # Requests in flight at targets of the old versions.
  unfinishedOld @8 :UInt32;
  # Requests of the service since the order.
  requests @9 :UInt64;
  routes @10 :List(Text);
  targets @11 :List(Text);
  cells @12 :List(Cell);
}

struct RolloutAdvice {
  struct Missing {
    reporter @0 :Text;
    # 0 if the sender knows of no process of this name.
    incarnation @1 :UInt64;
    acknowledged @2 :UInt64;
  }

  service @0 :Text;
  # The entry that sends the message.
  candidate @1 :Text;
  order @2 :Position;
  hold @3 :Bool;
  # Newest report of the recipient from which no changed cell is missing.
  acknowledged @4 :UInt64;
  # Processes whose reports the recipient should forward to the sender.
  missing @5 :List(Missing);
}

struct QuotaAsk {
  struct Account {
    account @0 :Text;
    wanted @1 :UInt32;
    # Unused tokens of the grant that has this lease.
    returned @2 :UInt32;
  }

  shard @0 :UInt8;
  # Increases with each ask of the sender to this shard.
  number @1 :UInt64;
  # Lease of the recipient's last grant; 0 to end a lease or to begin one.
  lease @2 :UInt64;
  accounts @3 :List(Account);
}

struct QuotaGrant {
  struct Account {
    account @0 :Text;
    granted @1 :UInt32;
    # Time until the sender has a further token; 0 if the account is not short.
    retryAfterMs @2 :UInt32;
  }

  shard @0 :UInt8;
  # Number of the ask.
  number @1 :UInt64;
  lease @2 :UInt64;
  accounts @3 :List(Account);
}
