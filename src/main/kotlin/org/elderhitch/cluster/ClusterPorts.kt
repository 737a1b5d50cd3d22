package org.elderhitch.cluster

import org.elderhitch.delegates.DelegationGrant
import org.elderhitch.delegates.DelegationOffer
import org.elderhitch.http.Request
import org.elderhitch.http.Response
import org.elderhitch.jobs.Footprint
import org.elderhitch.jobs.JobId
import org.elderhitch.jobs.TerminalRecord
import org.elderhitch.leadership.LeadershipState
import org.elderhitch.leadership.Term
import org.elderhitch.settings.NodeName
import kotlin.time.Duration

/** What this node says of itself, and what it does with what others say. */
public interface ClusterPorts {
    public fun leadershipState(): LeadershipState

    public fun reachesStateService(): Boolean

    public fun runningTasks(): Map<JobId, Int>

    public fun openJobsLimit(): Footprint

    public fun observeTerm(term: Term)

    public fun previousLeadersStopped(term: Term)

    /** The run that led before this term has ended. */
    public fun previousLeaderEnded(term: Term)

    /** As the leader: for how long from now the node may answer as lease delegate; null: not named now. */
    public suspend fun grantDelegation(node: NodeName): DelegationOffer?

    /** This node has been named. */
    public fun delegationGranted(grant: DelegationGrant)

    /** No leader names anybody for longer. */
    public val longestDelegation: Duration

    /** Endings that another controller has recorded. */
    public fun receiveTerminalStates(endings: Map<JobId, TerminalRecord>)

    public fun receiveRunningCounts(counts: Map<JobId, Int>)

    /** Answers a user's request here, whatever it takes, without handing it on. */
    public suspend fun serveUserRequest(request: Request): Response

    /** Answers what another node asks of the leader. */
    public suspend fun serveLeaderRequest(request: Request): Response
}
