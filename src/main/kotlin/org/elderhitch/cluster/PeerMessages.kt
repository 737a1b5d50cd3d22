package org.elderhitch.cluster

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber

/** What controllers tell each other about once a second. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public data class PeerHeartbeat(
    @ProtoNumber(1) val node: String,
    @ProtoNumber(2) val run: String,
    /** The highest term that the node knows of. */
    @ProtoNumber(3) val term: Long,
    @ProtoNumber(4) val leading: Boolean,
    /** Whether the state service answers this node. */
    @ProtoNumber(5) val reachesState: Boolean,
    /** From the leader: how many tasks of each job run. */
    @ProtoNumber(6) val running: Map<String, Int> = emptyMap(),
    /** What the node's memory can hold of open jobs, in bytes; 0 from an earlier version. */
    @ProtoNumber(7) val bound: Long = 0,
    /**
     * In the leader's answer: for how many milliseconds from the question on the node may answer as lease delegate of
     * its zone; 0: not named now.
     */
    @ProtoNumber(8) val delegateMs: Long = 0,
)

/** A user's request that a node which the state service refuses hands to one that it doesn't. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public class ForwardedRequest(
    @ProtoNumber(1) public val method: String,
    @ProtoNumber(2) public val path: String,
    @ProtoNumber(3) public val body: ByteArray,
    /** The IP number that the request came from; empty: not said. */
    @ProtoNumber(4) public val from: String = "",
)

@OptIn(ExperimentalSerializationApi::class)
@Serializable
public class ForwardedResponse(
    @ProtoNumber(1) public val status: Int,
    @ProtoNumber(2) public val body: ByteArray,
    @ProtoNumber(3) public val headers: Map<String, String> = emptyMap(),
)
