package org.elderhitch.settings

/** The name of a controller, unique in the cluster. */
@JvmInline
public value class NodeName(public val text: String) {
    override fun toString(): String = text
}

/** The name of an availability zone of the cloud; empty if the settings name none. */
@JvmInline
public value class Zone(public val name: String) {
    override fun toString(): String = name
}

/** The name of a team; quotas apply per team. */
@JvmInline
public value class TeamName(public val text: String) {
    override fun toString(): String = text
}
