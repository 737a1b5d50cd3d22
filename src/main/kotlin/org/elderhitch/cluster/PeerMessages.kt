package org.elderhitch.cluster

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber

/**
 * What controllers tell each other about once a second, as request and as response. Two versions run side by side
 * during an update, so field numbers never change, and fields that were added later have a default. The names of the
 * fields without one stand in the log line of a message that lacks them.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public data class PeerHeartbeat(
    @ProtoNumber(1) val node: String,
    /** The incarnation of the node. */
    @ProtoNumber(2) val run: String,
    /** The highest term that the node knows of. */
    @ProtoNumber(3) val term: Long,
    @ProtoNumber(4) val leading: Boolean,
    /** Whether the state service answers the node. */
    @ProtoNumber(5) val reachesState: Boolean,
    /** From the leader: how many tasks of each job run. */
    @ProtoNumber(6) val runningTasks: Map<String, Int> = emptyMap(),
    /** What the node's memory can hold of open jobs, in bytes; 0 from an earlier version. */
    @ProtoNumber(7) val openJobsLimitBytes: Long = 0,
    /**
     * In the leader's response: for how many milliseconds from the request on the node may answer as lease delegate of
     * its zone; 0: it may not.
     */
    @ProtoNumber(8) val delegateMs: Long = 0,
)

/** A request that a node hands to a peer, which answers it with a [ForwardedResponse]. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public class ForwardedRequest(
    @ProtoNumber(1) public val method: String,
    @ProtoNumber(2) public val path: String,
    @ProtoNumber(3) public val body: ByteArray,
    /** The IP address that the request came from; empty: not known. */
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

/** Terminal states that a controller has just recorded, for the others. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public class TerminalStateBroadcast(
    @ProtoNumber(1) public val node: String,
    @ProtoNumber(2) public val notices: List<TerminalStateNotice> = emptyList(),
)

/** One job's terminal state; [record] has the form that is stored in the state service. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public class TerminalStateNotice(@ProtoNumber(1) public val job: String, @ProtoNumber(2) public val record: ByteArray)
