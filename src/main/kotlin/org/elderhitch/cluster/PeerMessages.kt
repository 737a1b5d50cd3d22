package org.elderhitch.cluster

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber

/**
 * The heartbeat that controllers exchange about once a second, both as request and as response. Two versions run side
 * by side during an update, so field numbers must not change, and fields added later need a default value. The names of
 * fields without a default appear in the log line about a message that lacks them.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public data class PeerHeartbeat(
    @ProtoNumber(1) val node: String,
    /** The incarnation of the node. */
    @ProtoNumber(2) val run: String,
    /** The term of a leader; of a follower, the highest term that its answers to workers respect. */
    @ProtoNumber(3) val term: Long,
    @ProtoNumber(4) val leading: Boolean,
    /** Whether the node receives responses from the state service. */
    @ProtoNumber(5) val reachesState: Boolean,
    /** The number of running tasks by job ID; only from the leader. */
    @ProtoNumber(6) val runningTasks: Map<String, Int> = emptyMap(),
    /** The size of open jobs that fits the node's memory, in bytes; 0 from an earlier version. */
    @ProtoNumber(7) val openJobsLimitBytes: Long = 0,
    /**
     * In the leader's response: how many milliseconds after sending the request the node may answer as lease delegate
     * of its zone; 0 if it may not.
     */
    @ProtoNumber(8) val delegateMs: Long = 0,
    /**
     * With [delegateMs]: the last fencing token that the leader may have sent to a worker of the zone; 0 from an
     * earlier version, whose only token is the term.
     */
    @ProtoNumber(9) val lastToken: Long = 0,
)

/** A request that a node forwards to a peer, which answers with a [ForwardedResponse]. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public class ForwardedRequest(
    @ProtoNumber(1) public val method: String,
    @ProtoNumber(2) public val path: String,
    @ProtoNumber(3) public val body: ByteArray,
    /** The IP address of the original sender; empty if unknown. */
    @ProtoNumber(4) public val senderAddress: String = "",
)

/** The response to a [ForwardedRequest]. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public class ForwardedResponse(
    @ProtoNumber(1) public val status: Int,
    @ProtoNumber(2) public val body: ByteArray,
    @ProtoNumber(3) public val headers: Map<String, String> = emptyMap(),
)

/** Notifies the other controllers of terminal states that this controller has just recorded. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public class TerminalStateBroadcast(
    @ProtoNumber(1) public val node: String,
    @ProtoNumber(2) public val notices: List<TerminalStateNotice> = emptyList(),
)

/** The terminal state of one job; [record] has the same format as in the state service. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public class TerminalStateNotice(@ProtoNumber(1) public val job: String, @ProtoNumber(2) public val record: ByteArray)
