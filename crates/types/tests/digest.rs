//! Tests of the digest of a request's content.

use jacinthpoint_types::RequestDigest;

/// Fields of a request: organisation, host, method, path with query, body.
const REQUEST: [&str; 5] = ["customer-1", "model.example", "GET", "/status/7?page=2", ""];

fn digest(fields: &[&str]) -> RequestDigest {
    let fields: Vec<&[u8]> = fields.iter().map(|field| field.as_bytes()).collect();
    RequestDigest::of(&fields)
}

/// Guards against requests that are refused because they share all but one field with another one.
#[test]
fn requests_that_differ_in_one_field_have_different_digests() {
    for index in 0..REQUEST.len() {
        let mut other = REQUEST;
        other[index] = "other";
        assert_ne!(digest(&other), digest(&REQUEST), "field {index}");
    }
    assert_eq!(digest(&REQUEST), digest(&REQUEST));
}

#[test]
fn fields_that_are_split_elsewhere_have_different_digests() {
    assert_ne!(digest(&["ab", "c"]), digest(&["a", "bc"]));
    assert_ne!(digest(&["ab"]), digest(&["ab", ""]));
}

#[test]
fn text_form_is_read_back() {
    let known = digest(&REQUEST);
    assert_eq!(known.to_string().parse(), Ok(known));
    let small = RequestDigest(5);
    assert_eq!(small.to_string().len(), 32);
    assert_eq!(small.to_string().parse(), Ok(small));
    let malformed = [
        "",
        "5",
        "+0000000000000000000000000000005",
        "g0000000000000000000000000000000",
    ];
    for text in malformed {
        assert!(text.parse::<RequestDigest>().is_err(), "{text}");
    }
}
