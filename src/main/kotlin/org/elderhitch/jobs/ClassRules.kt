package org.elderhitch.jobs

/** What a deployment allows to jobs of a class. */
public data class ClassRule(
    /** Whether a job of the class may be submitted again from an earlier one. */
    val repeats: Boolean = true,
    /** How often a task may be started and lost or fail before its job is held; null: as often as it takes. */
    val attempts: Int? = null,
)

public class ClassRules(private val rules: Map<String, ClassRule>) {
    public val any: Boolean get() = rules.isNotEmpty()

    public fun of(jobClass: String): ClassRule = rules[jobClass] ?: UNRULED

    /** Why the job may not repeat an earlier one; null: it may, or it doesn't. Every way of submitting asks here. */
    public fun deniesRepeat(spec: JobSpec): String? = if (spec.repeatOf == null ||
        of(spec.jobClass).repeats
    ) {
        null
    } else {
        "repeatOf: class ${spec.jobClass} has the rule repeats = false"
    }

    public companion object {
        private val UNRULED = ClassRule()
        public val NONE: ClassRules = ClassRules(emptyMap())
    }
}
