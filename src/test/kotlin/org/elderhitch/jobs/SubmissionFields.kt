package org.elderhitch.jobs

/** The fields of a submission, as the protocol's table lists them. */
internal object SubmissionFields {
    /** The fields that can't be null, so that each submission must contain them. */
    val REQUIRED: List<String> = listOf(
        "id", "lotClass", "desk", "lotKind", "urgency", "crates", "cores", "accelerators", "memGb",
        "samePlace", "spread", "borrowedRigs", "catchImage", "pullGb", "haulS", "tallyS", "stowS",
    )

    /** The fields that may be null or omitted. */
    val OPTIONAL: List<String> = listOf("rigs", "hall", "closingS")

    /** The fields that records of earlier versions and job templates may omit. */
    val FLAGS: List<String> = listOf("samePlace", "spread", "borrowedRigs")
}
